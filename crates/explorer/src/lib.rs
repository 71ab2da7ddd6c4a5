//! Model checker over the decision code, with mutants.
