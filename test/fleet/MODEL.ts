/** Model that all engines of a fleet hold. */
const MODEL = 'model257406';

export default MODEL;
