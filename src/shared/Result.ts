/** Result of an operation that can fail in foreseen ways. */
type Result<Value, Fault> = { ok: true; value: Value } | { ok: false; error: Fault };

export default Result;
