use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::{panicked_tasks, run, spawn_contained};

#[test]
fn a_panic_ends_its_task_and_not_the_others() {
    let before = panicked_tasks();
    let survived = run(async {
        let done = Rc::new(Cell::new(false));
        spawn_contained("fails", async {
            panic!("a task that fails");
        });
        let other = Rc::clone(&done);
        spawn_contained("works", async move {
            monoio::time::sleep(Duration::from_millis(5)).await;
            other.set(true);
        });
        // Writing the backtrace of the panic may take long.
        for _ in 0..1000 {
            if done.get() {
                break;
            }
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        done.get()
    });
    assert!(survived);
    assert_eq!(panicked_tasks(), before + 1);
}
