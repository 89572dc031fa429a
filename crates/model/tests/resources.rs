//! Arithmetic of resources.

use crowstall_model::model::{Quantity, Resources};

/// Amounts whose multiples stay small, and amounts whose multiples exceed the range of a quantity.
const AMOUNTS: [u64; 5] = [0, 1, 250_000, 64_000_000, u64::MAX / 3];

#[test]
fn multiples_agree_with_repeated_sums() {
    for amount in AMOUNTS {
        let part = Resources { cpus: Quantity(amount), gpus: Quantity(0), memory: Quantity(amount / 2) };
        let mut sum = Resources::default();
        for count in 0..10 {
            assert_eq!(part.times(count), sum, "{count} times {amount}");
            sum = sum.plus(&part);
        }
    }
}
