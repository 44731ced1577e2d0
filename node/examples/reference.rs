//! Prints the reference of a node's settings for `docs/SETTINGS.md`.

fn main() {
    print!("{}", node::settings::Settings::reference());
}
