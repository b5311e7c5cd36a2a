/** Result of an operation that can fail in foreseen ways. */
type Outcome<Value, Fault> = { ok: true; value: Value } | { ok: false; error: Fault };

export default Outcome;
