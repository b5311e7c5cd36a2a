/**
 * Fault of a server: `loseAnswers` resets the connection after a request ran, `errors` returns 500,
 * `silentOrders` executes some commands late and never responds to these.
 */
type ServerFault = 'none' | 'loseAnswers' | 'errors' | 'silentOrders';

export default ServerFault;
