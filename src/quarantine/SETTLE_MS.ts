/** Time for the reports of other requests of the same crash to arrive. */
const SETTLE_MS = 150;

export default SETTLE_MS;
