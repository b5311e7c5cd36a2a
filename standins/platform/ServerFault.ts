/** What is wrong with a server; a silent one takes bytes and answers nothing. */
type ServerFault = 'none' | 'loseAnswers' | 'errors' | 'silentOrders';

export default ServerFault;
