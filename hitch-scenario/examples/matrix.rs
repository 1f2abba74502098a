//! Prints the page of the fault matrix.

use hitch_scenario::matrix;

fn main() {
    let cells = matrix::run_all(&matrix::cells());
    let pairs = matrix::run_all(&matrix::pairs());
    print!("{}", matrix::page(&cells, &pairs));
}
