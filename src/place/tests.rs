//! Tests of the placement policy.

use super::{Piece, Server, assign};
use crate::keys::Span;

fn free(count: u64) -> Vec<Piece> {
    let piece = |span| Piece {
        span,
        owner: None,
        last: None,
        free: true,
        movable: true,
        rate: 0.0,
        hot: Vec::new(),
    };
    Span::cut(count).into_iter().map(piece).collect()
}

fn servers(capacities: &[f64]) -> Vec<Server> {
    let server = |c: &f64| Server {
        capacity: *c,
        open: true,
    };
    capacities.iter().map(server).collect()
}

#[test]
fn the_first_assignment_follows_capacity() {
    let choices = assign(&free(256), &servers(&[6.0, 6.0, 12.0, 0.0]));
    let count = |server| choices.iter().filter(|c| c.server == server).count();
    assert_eq!([count(0), count(1), count(2), count(3)], [64, 64, 128, 0]);
}

#[test]
fn a_span_goes_back_to_its_last_owner() {
    let mut pieces = free(16);
    for (i, piece) in pieces.iter_mut().enumerate() {
        piece.last = Some(i % 2);
    }
    let choices = assign(&pieces, &servers(&[1.0, 1.0]));
    assert!(choices.iter().all(|c| c.server == c.piece % 2));
}
