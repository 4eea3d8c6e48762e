/**
 * Settings of one process: its fleet, host and data centre, its addresses, and the URLs of the
 * platform's services. They are read from a TOML file at start; with invalid settings a process does
 * not start.
 */
import { z } from 'zod';
import { parseToml } from './toml.ts';

/** Highest valid port number. */
export const MAX_PORT = 65_535;

/** An address `IP:port`; port 0 requests an ephemeral port. */
export const socketAddressSchema = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'must be an IPv4 address and a port, like 10.0.0.1:8080',
  )
  .refine((text) => Number(text.split(':')[1]) <= MAX_PORT, 'port must be at most 65535');

const urlSchema = z.url({ protocol: /^https?$/ });

const platformSchema = z.strictObject({
  /** Base URL of the configuration service. */
  configuration: urlSchema,
  /** Base URL of the list of hosts. */
  hosts: urlSchema,
});

const logSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

const metricsSchema = z.strictObject({
  /** Address of the StatsD collector. */
  statsd: socketAddressSchema,
});

const faultsSchema = z.strictObject({
  /** Probability that a heartbeat or membership message is dropped; for tests only. */
  message_loss: z.number().min(0).max(1),
});

/** Connections of one listener; more than any router of the planned size has. */
const DEFAULT_CONNECTIONS = 4_000;

const limitsSchema = z.strictObject({
  /** Memory that may be held for callers, in MiB; by default a quarter of the heap. */
  held_mb: z.number().positive().optional(),
  /** Most connections of callers, and as many links. */
  connections: z.int().positive().default(DEFAULT_CONNECTIONS),
});

/** How the processes of a fleet authenticate each other. */
export enum TrustMode {
  /** No authentication: anyone who can reach an address is trusted. For trials on one machine. */
  None = 'none',
  /** Mutual TLS: both sides of every link present a certificate. */
  Mutual = 'mutual',
}

const DEFAULT_EXPIRY_WARNING_DAYS = 14;

const trustSchema = z.discriminatedUnion(
  'mode',
  [
    z.strictObject({ mode: z.literal(TrustMode.None) }),
    z.strictObject({
      mode: z.literal(TrustMode.Mutual),
      /** Path of the CA certificate, in PEM. */
      ca: z.string().min(1),
      /** Path of this process's certificate, in PEM. */
      certificate: z.string().min(1),
      /** Path of the certificate's private key, in PEM. */
      key: z.string().min(1),
      /** Number of days before expiry from which the process warns about its certificate. */
      expiry_warning_days: z.number().positive().default(DEFAULT_EXPIRY_WARNING_DAYS),
    }),
  ],
  { error: 'must be a table with mode = "mutual", or mode = "none" to do without' },
);

const commonFields = {
  /** Name of the fleet; processes of other fleets are refused. */
  fleet: z.string().min(1),
  host: z.string().min(1),
  data_centre: z.string().min(1),
  platform: platformSchema,
  trust: trustSchema,
  log: logSchema.default({ level: 'info' }),
  metrics: metricsSchema.optional(),
  limits: limitsSchema.default({ connections: DEFAULT_CONNECTIONS }),
  /** Fault injection; for tests only. */
  faults: faultsSchema.optional(),
};

const callersSchema = z.strictObject({
  address: socketAddressSchema,
  /** Largest request body in bytes. */
  body_limit_bytes: z.int().positive().default(1_048_576),
  /** Largest total size of request headers in bytes. */
  header_limit_bytes: z.int().positive().default(16_384),
  /** Time within which a caller must send its whole request. */
  receive_timeout_ms: z.int().positive().default(30_000),
  /** Deadline of requests that specify none. */
  default_deadline_ms: z.int().positive().default(120_000),
});

const linksSchema = z.strictObject({ address: socketAddressSchema });

const operatorsSchema = z.strictObject({ address: socketAddressSchema });

/** Schema of a router's settings. */
export const routerSettingsSchema = z
  .strictObject({
    ...commonFields,
    callers: callersSchema,
    links: linksSchema,
    operators: operatorsSchema,
  })
  .superRefine((settings, context) => {
    const sectionsByAddress = new Map<string, string>();
    for (const key of ['callers', 'links', 'operators'] as const) {
      const address = settings[key].address;
      const earlierSection = sectionsByAddress.get(address);
      if (earlierSection !== undefined && !address.endsWith(':0')) {
        const message = `duplicate address ${address}, already used by ${earlierSection}.address`;
        context.addIssue({ code: 'custom', path: [key, 'address'], message });
      }
      sectionsByAddress.set(address, key);
    }
  });

/** Schema of a sidecar's settings. */
export const sidecarSettingsSchema = z.strictObject({
  ...commonFields,
  operators: operatorsSchema,
  endpoint: z.strictObject({
    /** Name of the endpoint in the fleet configuration. */
    name: z.string().min(1),
    /** Base URL of the endpoint that the sidecar serves. */
    url: urlSchema,
  }),
});

/** Validated settings of a router. */
export type RouterSettings = z.output<typeof routerSettingsSchema>;

/** Validated settings of a sidecar. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;

/** Parses and validates a router's settings. Throws `ConfigurationError`. */
export function parseRouterSettings(text: string, source: string): RouterSettings {
  return parseToml(text, routerSettingsSchema, source);
}

/** Parses and validates a sidecar's settings. Throws `ConfigurationError`. */
export function parseSidecarSettings(text: string, source: string): SidecarSettings {
  return parseToml(text, sidecarSettingsSchema, source);
}
