//! Borrowing for the requests of one organisation, one at a time.

use endivespur_core::gateway::quota::wallet::{Inquiry, Step};
use endivespur_core::id::Vm;
use smol::lock::Mutex;

/// Borrows until the next step of a request is another one; returns that step.
///
/// `step` takes the amount from the wallet when it admits the request, so each of its results is used. Requests borrow
/// under the lock, after a step under the lock: another one may have borrowed enough meanwhile.
pub async fn settle(
    lock: &Mutex<()>,
    inquiry: &mut Inquiry,
    step: impl Fn(&Inquiry) -> Option<Step>,
    borrow: impl AsyncFn(&mut Inquiry, &Vm, (u64, u64)),
) -> Option<Step> {
    let mut guard = None;
    loop {
        match step(inquiry) {
            Some(Step::Borrow { .. }) if guard.is_none() => guard = Some(lock.lock().await),
            Some(Step::Borrow {
                lender,
                needed,
                wanted,
            }) => {
                borrow(inquiry, &lender, (needed, wanted)).await;
                guard = None;
            }
            step => return step,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::cell::{Cell, RefCell};
    use std::time::Duration;

    use endivespur_core::clock::Time;
    use smol::future::{block_on, yield_now, zip};

    use super::*;

    // Guards against a request that waits for another's loan and is charged twice.
    #[test]
    fn settle_charges_once_after_loan_of_another() {
        let (lock, held, loans) = (Mutex::new(()), RefCell::new(0), Cell::new(0));
        let request = async || {
            let step = |_: &Inquiry| match &mut *held.borrow_mut() {
                0 => Some(Step::Borrow {
                    lender: "b".to_string(),
                    needed: 1,
                    wanted: 2,
                }),
                held => {
                    *held -= 1;
                    Some(Step::Admit(Vec::new()))
                }
            };
            let borrow = async |_: &mut Inquiry, _: &Vm, (_, wanted): (u64, u64)| {
                yield_now().await;
                *held.borrow_mut() += wanted;
                loans.set(loans.get() + 1);
            };
            let mut inquiry = Inquiry::new(Time::ZERO, 1, Duration::ZERO);
            settle(&lock, &mut inquiry, step, borrow).await
        };
        let admitted = Some(Step::Admit(Vec::new()));
        let steps = block_on(zip(request(), request()));
        assert_eq!(steps, (admitted.clone(), admitted));
        assert_eq!((loans.get(), held.into_inner()), (1, 0));
    }
}
