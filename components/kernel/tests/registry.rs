//! Services find each other by name.

use kernel::{Error, Registry};

#[test]
fn find_offered() {
    let registry = Registry::default();
    registry.offer("two", 2_u32).expect("the name is free");
    registry.offer("one", 1_u32).expect("the name is free");
    assert_eq!(registry.find::<u32>("one"), Ok(1));
    assert_eq!(registry.names(), ["one", "two"]);
}

#[test]
fn find_fault_cases() {
    let registry = Registry::default();
    registry.offer("one", 1_u32).expect("the name is free");
    assert_eq!(registry.offer("one", 2_u32), Err(Error::Duplicate("one")));
    assert_eq!(registry.find::<u32>("two"), Err(Error::Missing("two")));
    assert_eq!(registry.find::<u64>("one"), Err(Error::Mismatch("one")));
}
