/**
 * Polyfill of the parts of the Reflect metadata API that the dependency injection of the certificate
 * library uses. Import it before that library.
 */
type MetadataKey = string | symbol;

interface MetadataReflection {
  defineMetadata(key: MetadataKey, value: unknown, target: object): void;
  getMetadata(key: MetadataKey, target: object): unknown;
  getOwnMetadata(key: MetadataKey, target: object): unknown;
  hasOwnMetadata(key: MetadataKey, target: object): boolean;
}

const metadata = new WeakMap<object, Map<MetadataKey, unknown>>();

const reflection: MetadataReflection = {
  defineMetadata(key, value, target) {
    const entries = metadata.get(target) ?? new Map<MetadataKey, unknown>();
    entries.set(key, value);
    metadata.set(target, entries);
  },
  getMetadata(key, target) {
    let holder: object | null = target;
    while (holder !== null && metadata.get(holder)?.has(key) !== true)
      holder = Object.getPrototypeOf(holder) as object | null;
    return holder === null ? undefined : metadata.get(holder)?.get(key);
  },
  getOwnMetadata(key, target) {
    return metadata.get(target)?.get(key);
  },
  hasOwnMetadata(key, target) {
    return metadata.get(target)?.has(key) ?? false;
  },
};

Object.assign(Reflect, reflection);
