/**
 * Owns the configuration in force in one process. Only a newer version can replace it. A document that
 * fails validation is refused as a whole, and the last valid one stays in force. Documents that arrive
 * during the peer wait are held back until it is over; then the newest valid one is put in force.
 */
import { createHash } from 'node:crypto';
import {
  ConfigurationError,
  isNewerVersion,
  NO_VERSION,
  parseFleetConfiguration,
} from '@poplarpick/decisions';
import type { DocumentVersion, FleetConfiguration } from '@poplarpick/decisions';
import { Metric, Task } from '@poplarpick/kernel';
import type { Logger, Metrics } from '@poplarpick/kernel';
import type { ConfigurationDocument } from '../messages.ts';

/** Length of a document digest, in hexadecimal digits. */
const DIGEST_LENGTH = 16;

/** A document in force. */
export interface ConfigurationInForce {
  document: ConfigurationDocument;
  version: DocumentVersion;
  /** Frozen, so that a decision uses a single revision throughout. */
  configuration: FleetConfiguration;
}

/** A document that was refused. */
export interface ConfigurationRefusal {
  revision: number;
  source: string;
  problems: readonly string[];
}

/** Kinds of messages to the configuration task. */
export enum ConfigurationMessageKind {
  /** A document has arrived. */
  DocumentReceived,
  /** The process need not wait for its peers any longer. */
  PeerWaitOver,
}

/** Messages to the configuration task. */
export type ConfigurationMessage =
  | {
      kind: ConfigurationMessageKind.DocumentReceived;
      document: ConfigurationDocument;
      /** Where the document came from: `service`, or the name of a host. */
      source: string;
    }
  | { kind: ConfigurationMessageKind.PeerWaitOver };

type ChangeListener = (inForce: ConfigurationInForce) => void;
type RefusalListener = (version: DocumentVersion) => void;

/** Holds the newest valid document. */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private readonly metrics: Metrics;
  private readonly listeners: ChangeListener[] = [];
  private readonly refusalListeners: RefusalListener[] = [];
  private pendingDocuments: { document: ConfigurationDocument; source: string }[] = [];
  private peerWaitOver = false;
  private inForce: ConfigurationInForce | undefined;
  private refusal: ConfigurationRefusal | undefined;
  private highestReceived = 0;

  constructor(log: Logger, metrics: Metrics) {
    super('configuration', log);
    this.metrics = metrics;
  }

  get current(): ConfigurationInForce | undefined {
    return this.inForce;
  }

  /** Revision in force; 0 before any is. */
  get revision(): number {
    return this.version.revision;
  }

  /** Version in force. */
  get version(): DocumentVersion {
    return this.inForce?.version ?? NO_VERSION;
  }

  /** Highest revision received, including refused ones. */
  get highestReceivedRevision(): number {
    return this.highestReceived;
  }

  /** Whether the peer wait is over, so that documents may be put in force. */
  get isPeerWaitOver(): boolean {
    return this.peerWaitOver;
  }

  /** The most recently refused document. */
  get lastRefusal(): ConfigurationRefusal | undefined {
    return this.refusal;
  }

  /** Calls `listener` on every change, and immediately if a document is in force. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
    if (this.inForce !== undefined) listener(this.inForce);
  }

  onRefusal(listener: RefusalListener): void {
    this.refusalListeners.push(listener);
  }

  protected override handle(message: ConfigurationMessage): void {
    switch (message.kind) {
      case ConfigurationMessageKind.DocumentReceived:
        this.receive(message.document, message.source);
        return;
      case ConfigurationMessageKind.PeerWaitOver:
        this.applyPending();
    }
  }

  private applyPending(): void {
    this.peerWaitOver = true;
    const pending = this.pendingDocuments.sort((a, b) => b.document.revision - a.document.revision);
    this.pendingDocuments = [];
    for (const { document, source } of pending) this.receive(document, source);
  }

  private receive(document: ConfigurationDocument, source: string): void {
    this.highestReceived = Math.max(this.highestReceived, document.revision);
    if (!this.peerWaitOver) {
      this.pendingDocuments.push({ document, source });
      return;
    }
    const version = computeVersion(document);
    if (!isNewerVersion(version, this.version)) return;
    try {
      this.putInForce(document, version, source);
    } catch (error) {
      if (!(error instanceof ConfigurationError)) throw error;
      this.recordRefusal(document, version, source, error.problems);
    }
  }

  private putInForce(
    document: ConfigurationDocument,
    version: DocumentVersion,
    source: string,
  ): void {
    const { revision } = document;
    const configuration = parseFleetConfiguration(document.text, `revision ${revision}`);
    if (configuration.revision !== revision) {
      const problem = `revision: is ${configuration.revision}, but the service says ${revision}`;
      throw new ConfigurationError(`revision ${revision}`, [problem]);
    }
    if (revision === this.revision) this.log.warn({ event: 'configuration.conflict', revision });
    this.inForce = { document, version, configuration: freezeDeep(configuration) };
    this.metrics.gauge(Metric.ConfigurationRevision, revision);
    const { preset } = configuration;
    const { digest } = version;
    this.log.info({ event: 'configuration.in_force', revision, digest, preset, source });
    for (const listener of this.listeners) listener(this.inForce);
  }

  private recordRefusal(
    document: ConfigurationDocument,
    version: DocumentVersion,
    source: string,
    problems: readonly string[],
  ): void {
    this.refusal = { revision: document.revision, source, problems };
    this.log.error({
      event: 'configuration.refused',
      revision: document.revision,
      source,
      problems: problems.join('; '),
    });
    for (const listener of this.refusalListeners) listener(version);
  }
}

/** Computes the version of a document, which includes the digest of its text. */
export function computeVersion({ revision, text }: ConfigurationDocument): DocumentVersion {
  const digest = createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH);
  return { revision, digest };
}

function freezeDeep<Value>(value: Value): Value {
  if (typeof value !== 'object' || value === null || Object.isFrozen(value)) return value;
  Object.values(value).forEach(freezeDeep);
  return Object.freeze(value);
}
