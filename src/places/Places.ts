import type createPlaces from './createPlaces';

/** Takes places at upstreams that must not be sent more requests than they have room for. */
type Places = ReturnType<typeof createPlaces>;

export default Places;
