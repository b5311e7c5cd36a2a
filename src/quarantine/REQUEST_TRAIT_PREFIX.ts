const REQUEST_TRAIT_PREFIX = 'request:';

export default REQUEST_TRAIT_PREFIX;
