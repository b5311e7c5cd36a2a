const MIN_STATUS = 100;

/**
 * Rejects a response whose status is no status of HTTP. To be called from the client's callback for
 * heads: the error then ends the request and its connection. The client itself takes such a status
 * for an interim response and fails an assertion inside of its parser.
 */
export default function rejectInvalidStatus({ statusCode }: { statusCode: number }): void {
  if (statusCode < MIN_STATUS) {
    throw new Error(`a response has the status ${statusCode}`);
  }
}
