/**
 * What delimits the body of a response: its length, chunks, or the end of its connection; `none`: it
 * has no body and ends with its head.
 */
type ResponseFraming = 'none' | 'length' | 'chunks' | 'connection';

export default ResponseFraming;
