import type AllowanceBounds from './AllowanceBounds';

/** Bounds where the settings state none: they have little room for what is lent and under way. */
const DEFAULT_BOUNDS: AllowanceBounds = { windowMs: 8000, excess: 0.1, slack: 17_000 };

export default DEFAULT_BOUNDS;
