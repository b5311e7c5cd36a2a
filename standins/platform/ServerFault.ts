/**
 * Fault of a server: `loseAnswers` resets the connection after a request ran, `errors` returns 500,
 * `silentOrders` executes some commands late and never responds to these, `unframed` sends responses
 * that end with their connection and breaks some of them off inside an event or body, `slow` works
 * on each request for some hundred milliseconds, `oddStatus` responds with a status below 100.
 */
type ServerFault =
  'none' | 'loseAnswers' | 'errors' | 'silentOrders' | 'unframed' | 'slow' | 'oddStatus';

export default ServerFault;
