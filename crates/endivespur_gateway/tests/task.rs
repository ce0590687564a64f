//! Tasks that panic beside others.

use std::rc::Rc;

use endivespur_gateway::task::Tasks;
use smol::LocalExecutor;
use smol::channel::unbounded;

/// One request whose handling panicked ended the process, and all requests in flight had no response.
#[test]
fn spawn_task_that_panics() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(executor.clone());
    let (answer, answers) = unbounded();
    smol::block_on(executor.run(async {
        for request in 0..3 {
            let (tasks, answer) = (tasks.clone(), answer.clone());
            tasks.clone().spawn(async move {
                tasks.panicked().await;
                answer.send(request).await.unwrap();
            });
        }
        tasks.spawn(async { panic!("of this test") });
        for _ in 0..3 {
            answers.recv().await.unwrap();
        }
        // Later panics are not waited for.
        tasks.panicked().await;
    }));
}
