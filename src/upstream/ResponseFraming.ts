/** What delimits the body of a response: its length, chunks, or the end of its connection. */
type ResponseFraming = 'length' | 'chunks' | 'connection';

export default ResponseFraming;
