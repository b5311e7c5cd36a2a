/** Result of an operation: its value, or the reason of an expected failure. */
type Result<Value, Failure> = { ok: true; value: Value } | { ok: false; error: Failure };

export default Result;
