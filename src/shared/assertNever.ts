/** Ends the process loudly when a value that the types rule out turns up. */
export default function assertNever(value: never, context: string): never {
  throw new Error(`Unexpected value in ${context}: ${JSON.stringify(value)}`);
}
