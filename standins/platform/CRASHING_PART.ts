/** Part of a prompt that crashes each model server that begins a response on it. */
const CRASHING_PART = 'badc0de5';

export default CRASHING_PART;
