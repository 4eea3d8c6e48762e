/** Runs the stand-ins of a complete site in one process: engines, configuration service, host list. */
import { EndpointKind } from '@poplarpick/decisions';
import { ApplicationEngine } from '../application-engine.ts';
import { ConfigurationService } from '../configuration-service.ts';
import { HostList } from '../host-list.ts';
import { ModelEngine } from '../model-engine/model-engine.ts';
import type { ModelEngineOptions } from '../model-engine/model-engine.ts';
import type { StandIn } from '../stand-in.ts';
import { renderConfiguration } from './site-plan.ts';
import type { RevisionOptions, SitePlan } from './site-plan.ts';

/** Options of a `Site`. */
export interface SiteOptions {
  /** Options of all model engines. */
  engineDefaults?: Partial<ModelEngineOptions>;
  /** Options of single model engines by name, applied over `engineDefaults`. */
  engineOverrides?: Record<string, Partial<ModelEngineOptions>>;
  /** Duration of a call to an application engine, in milliseconds. */
  applicationWorkMs?: number;
  /** Delay until a change of the host list becomes visible, in milliseconds. */
  hostListLagMs?: number;
  /** Settle time of a preset switch in the first revision, in milliseconds. */
  settleMs?: number;
}

/** The running stand-ins of a site. */
export class Site {
  readonly plan: SitePlan;
  private readonly options: SiteOptions;
  readonly configuration = new ConfigurationService();
  readonly hosts: HostList;
  readonly modelEngines = new Map<string, ModelEngine>();
  readonly applicationEngines = new Map<string, ApplicationEngine>();

  constructor(plan: SitePlan, options: SiteOptions = {}) {
    this.plan = plan;
    this.options = options;
    this.hosts = new HostList({ lagMs: options.hostListLagMs ?? 0 });
    for (const { name, kind } of plan.endpoints) {
      if (kind === EndpointKind.Model) {
        const overrides = options.engineOverrides?.[name];
        const engine = new ModelEngine({
          models: [plan.model],
          ...options.engineDefaults,
          ...overrides,
        });
        this.modelEngines.set(name, engine);
      } else {
        this.applicationEngines.set(
          name,
          new ApplicationEngine({ workMs: options.applicationWorkMs ?? 20 }),
        );
      }
    }
  }

  /** Starts all stand-ins on ephemeral ports and publishes the first revision. */
  async start(): Promise<this> {
    await Promise.all(this.listStandIns().map((standIn) => standIn.start()));
    const { settleMs } = this.options;
    this.publish({ revision: 1, ...(settleMs === undefined ? {} : { settleMs }) });
    return this;
  }

  async stop(): Promise<void> {
    await Promise.all(this.listStandIns().map((standIn) => standIn.stop()));
  }

  /** Publishes a revision of the site's configuration. */
  publish(options: RevisionOptions): void {
    this.configuration.publish(options.revision, renderConfiguration(this.plan, options));
  }

  /** Returns the base URL of an endpoint. Throws for an unknown name. */
  endpointUrl(name: string): string {
    const engine = this.modelEngines.get(name) ?? this.applicationEngines.get(name);
    if (engine === undefined) throw new Error(`unknown endpoint ${name}`);
    return engine.url;
  }

  /** Counts the executions per business key over all application engines. */
  countRuns(): Map<string, number> {
    const totals = new Map<string, number>();
    for (const engine of this.applicationEngines.values()) {
      for (const [key, runs] of Object.entries(engine.runCounts))
        totals.set(key, (totals.get(key) ?? 0) + runs);
    }
    return totals;
  }

  /** Whether any engine executed the request with this id. */
  hasRun(requestId: string): boolean {
    const engines = [...this.modelEngines.values(), ...this.applicationEngines.values()];
    return engines.some((engine) => engine.hasRun(requestId));
  }

  private listStandIns(): StandIn[] {
    return [
      this.configuration,
      this.hosts,
      ...this.modelEngines.values(),
      ...this.applicationEngines.values(),
    ];
  }
}
