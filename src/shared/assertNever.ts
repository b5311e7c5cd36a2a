/**
 * Throws an error that names a value which the types rule out, and the context where it occurred.
 */
export default function assertNever(value: never, context: string): never {
  throw new Error(`Unexpected value in ${context}: ${JSON.stringify(value)}`);
}
