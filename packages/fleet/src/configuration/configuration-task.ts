/**
 * The configuration in force in one process. It only ever moves to a higher revision; a document
 * that fails its checks is refused whole and the last good one stays in force.
 */
import { ConfigurationError, parseFleetConfiguration } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Metric, Task } from '@poplarpick/kernel';
import type { Logger, Metrics } from '@poplarpick/kernel';
import type { ConfigurationDocument } from '../messages.ts';

/** A revision in force. */
export interface ConfigurationInForce {
  document: ConfigurationDocument;
  configuration: FleetConfiguration;
}

/** A document that was refused. */
export interface ConfigurationRefusal {
  revision: number;
  source: string;
  problems: readonly string[];
}

/** A document has arrived. */
export interface DocumentOffer {
  document: ConfigurationDocument;
  /** Where it came from: the service or a host. */
  source: string;
}

type ChangeListener = (inForce: ConfigurationInForce) => void;

/** Holds the highest good revision seen. */
export class ConfigurationTask extends Task<DocumentOffer> {
  private readonly metrics: Metrics;
  private readonly listeners: ChangeListener[] = [];
  private inForce: ConfigurationInForce | undefined;
  private refusal: ConfigurationRefusal | undefined;

  constructor(log: Logger, metrics: Metrics) {
    super('configuration', log);
    this.metrics = metrics;
  }

  get current(): ConfigurationInForce | undefined {
    return this.inForce;
  }

  /** Revision in force; 0 before the first. */
  get revision(): number {
    return this.inForce?.document.revision ?? 0;
  }

  /** The last document that was refused. */
  get lastRefusal(): ConfigurationRefusal | undefined {
    return this.refusal;
  }

  /** Calls `listener` now, if a revision is in force, and at every change. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
    if (this.inForce !== undefined) listener(this.inForce);
  }

  protected override handle(offer: DocumentOffer): void {
    const { document, source } = offer;
    if (document.revision <= this.revision || document.revision === this.refusal?.revision) return;
    try {
      this.adopt(document, source);
    } catch (error) {
      if (!(error instanceof ConfigurationError)) throw error;
      this.refuse(document, source, error.problems);
    }
  }

  private adopt(document: ConfigurationDocument, source: string): void {
    const configuration = parseFleetConfiguration(document.text, `revision ${document.revision}`);
    if (configuration.revision !== document.revision) {
      const problem = `revision: is ${configuration.revision}, but the service says ${document.revision}`;
      throw new ConfigurationError(`revision ${document.revision}`, [problem]);
    }
    this.inForce = { document, configuration };
    this.metrics.gauge(Metric.ConfigurationRevision, document.revision);
    const { preset } = configuration;
    this.log.info({ event: 'configuration.in_force', revision: document.revision, preset, source });
    for (const listener of this.listeners) listener(this.inForce);
  }

  private refuse(
    document: ConfigurationDocument,
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
  }
}
