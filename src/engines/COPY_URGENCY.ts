/** Less urgent than the loads that requests wait for, so copies of adapters are loaded after them. */
const COPY_URGENCY = 5;

export default COPY_URGENCY;
