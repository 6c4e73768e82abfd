//! An allocator that counts the bytes in use.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a count.
pub(crate) struct Counting;

// SAFETY: every call is handed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the rules of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the rules of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Bytes allocated and not yet freed.
pub(crate) fn in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}
