/** End of the path of requests that crash each server that runs them. */
const CRASHING_PATH = '/crash';

export default CRASHING_PATH;
