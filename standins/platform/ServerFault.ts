/**
 * Fault of a server: `loseAnswers` resets the connection after a request ran, `errors` returns 500,
 * `silentOrders` executes some commands late and never responds to these, `unframed` sends responses
 * that end with their connection and breaks some of them off inside an event or body.
 */
type ServerFault = 'none' | 'loseAnswers' | 'errors' | 'silentOrders' | 'unframed';

export default ServerFault;
