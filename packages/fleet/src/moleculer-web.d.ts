declare module 'moleculer-web' {
  import type { ServiceSchema } from 'moleculer';

  const gateway: ServiceSchema;
  export default gateway;
}
