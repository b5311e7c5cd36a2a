import type ResponseFraming from './ResponseFraming';

/** Returns what delimits a response with a body, from its headers (names in lowercase). */
export default function getResponseFraming(
  headers: Record<string, string | string[] | undefined>,
): ResponseFraming {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunks';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
