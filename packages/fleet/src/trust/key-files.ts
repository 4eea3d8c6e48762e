/**
 * The certificate, key and authority of a process, read from files and read again when they change.
 * Links that are open stay as they are; new ones use the new keys. Files that do not fit together
 * leave the last good ones in use.
 */
import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFile, stat } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import { describeError, Metric } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics, Timer } from '@poplarpick/kernel';

/** Time between two looks at the files. */
const LOOK_PERIOD_MS = 1_000;

/** Time between two warnings of a certificate that expires soon. */
const WARN_PERIOD_MS = 3_600_000;

const DAY_MS = 86_400_000;

/** Where the keys are. */
export interface KeyPaths {
  ca: string;
  certificate: string;
  key: string;
}

/** The contents of the files. */
export interface KeyMaterial {
  ca: Buffer;
  cert: Buffer;
  key: Buffer;
  /** Wall-clock time at which the certificate ends. */
  endsAt: number;
}

/** Options of a `KeyFiles`. */
export interface KeyFilesOptions {
  paths: KeyPaths;
  /** Days before its end at which a certificate is warned of. */
  warningDays: number;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

type ChangeListener = (material: KeyMaterial) => void;

/** Holds the keys in use. */
export class KeyFiles {
  private readonly options: KeyFilesOptions;
  private readonly listeners: ChangeListener[] = [];
  private readonly timer: Timer;
  private material: KeyMaterial;
  private seen: string;
  private warnedAt = -Infinity;

  private constructor(options: KeyFilesOptions, material: KeyMaterial, seen: string) {
    this.options = options;
    this.material = material;
    this.seen = seen;
    this.timer = options.clock.every(LOOK_PERIOD_MS, () => void this.look());
    this.warn();
  }

  /** Reads the files. Rejects where they cannot be read or do not fit together. */
  static async open(options: KeyFilesOptions): Promise<KeyFiles> {
    const seen = await readStamps(options.paths);
    return new KeyFiles(options, await readMaterial(options.paths), seen);
  }

  get current(): KeyMaterial {
    return this.material;
  }

  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  stop(): void {
    this.timer.stop();
  }

  private async look(): Promise<void> {
    const { paths, log } = this.options;
    try {
      const stamps = await readStamps(paths);
      if (stamps !== this.seen) await this.reload(stamps);
    } catch (error) {
      log.error({ event: 'trust.keys_refused', error: describeError(error) });
    }
    this.warn();
  }

  private async reload(stamps: string): Promise<void> {
    this.seen = stamps;
    this.material = await readMaterial(this.options.paths);
    this.warnedAt = -Infinity;
    const ends = new Date(this.material.endsAt).toISOString();
    this.options.log.info({ event: 'trust.keys_loaded', ends });
    for (const listener of this.listeners) listener(this.material);
  }

  private warn(): void {
    const { clock, log, metrics, warningDays } = this.options;
    const daysLeft = (this.material.endsAt - clock.now()) / DAY_MS;
    metrics.gauge(Metric.CertificateDaysLeft, daysLeft);
    if (daysLeft > warningDays || clock.monotonic() < this.warnedAt + WARN_PERIOD_MS) return;
    this.warnedAt = clock.monotonic();
    const event = daysLeft > 0 ? 'trust.certificate_expiring' : 'trust.certificate_expired';
    log.warn({ event, days_left: daysLeft.toFixed(2) });
  }
}

/** What changes when one of the files is written or replaced. */
async function readStamps(paths: KeyPaths): Promise<string> {
  const stats = await Promise.all(
    [paths.ca, paths.certificate, paths.key].map((path) => stat(path)),
  );
  return stats.map(({ mtimeMs, size, ino }) => `${mtimeMs} ${size} ${ino}`).join();
}

async function readMaterial(paths: KeyPaths): Promise<KeyMaterial> {
  const [ca, cert, key] = await Promise.all([
    readFile(paths.ca),
    readFile(paths.certificate),
    readFile(paths.key),
  ]);
  const certificate = new X509Certificate(cert);
  if (!certificate.checkPrivateKey(createPrivateKey(key)))
    throw new Error(`${paths.key} is not the key of ${paths.certificate}`);
  createSecureContext({ ca, cert, key });
  return { ca, cert, key, endsAt: Date.parse(certificate.validTo) };
}
