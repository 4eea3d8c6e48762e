/** Orders to the model engine stand-in, with fencing numbers that it checks or ignores. */

/** What an order asks for. */
export enum OrderAction {
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
  LoadAdapter = 'load-adapter',
  UnloadAdapter = 'unload-adapter',
  SetVersion = 'set-version',
  SetRole = 'set-role',
}

/** An order as it is sent to `POST /v1/orders`. */
export interface Order {
  fencing: string;
  action: OrderAction;
  /** Model, adapter, version or role. */
  value: string;
}

/** State that orders change, as `GET /v1/state` shows it. */
export interface EngineState {
  models: string[];
  adapters: string[];
  version: string;
  role: string;
  /** Highest fencing number seen. */
  fencing: string;
  loading: boolean;
}

/** Result of an order. */
export enum OrderResult {
  Done = 'done',
  /** The fencing number is lower than one seen before. */
  Stale = 'stale',
  /** A load is under way. */
  Busy = 'busy',
  /** The weight store refused. */
  NoWeights = 'no-weights',
}

/** Options of an `OrderExecutor`. */
export interface OrderExecutorOptions {
  models: string[];
  checksFencing: boolean;
  loadMs: number;
  /** Base URL of the weight store; without one, loads need no weights. */
  weightStore?: string | undefined;
}

/** Takes orders and holds the state they change. */
export class OrderExecutor {
  readonly state: EngineState;
  private readonly options: OrderExecutorOptions;

  constructor(options: OrderExecutorOptions) {
    this.options = options;
    this.state = {
      models: [...options.models],
      adapters: [],
      version: '1',
      role: 'mixed',
      fencing: '',
      loading: false,
    };
  }

  async execute(order: Order): Promise<OrderResult> {
    if (this.options.checksFencing && order.fencing < this.state.fencing) return OrderResult.Stale;
    if (order.fencing > this.state.fencing) this.state.fencing = order.fencing;
    if (order.action === OrderAction.LoadModel || order.action === OrderAction.LoadAdapter)
      return this.load(order);
    this.apply(order);
    return OrderResult.Done;
  }

  private async load(order: Order): Promise<OrderResult> {
    if (this.state.loading) return OrderResult.Busy;
    this.state.loading = true;
    try {
      if (!(await this.fetchWeights(order.value))) return OrderResult.NoWeights;
      await new Promise((resolve) => setTimeout(resolve, this.options.loadMs));
      this.apply(order);
      return OrderResult.Done;
    } finally {
      this.state.loading = false;
    }
  }

  private async fetchWeights(name: string): Promise<boolean> {
    if (this.options.weightStore === undefined) return true;
    const response = await fetch(
      `${this.options.weightStore}/v1/weights/${encodeURIComponent(name)}`,
    );
    return response.ok;
  }

  private apply({ action, value }: Order): void {
    const { state } = this;
    switch (action) {
      case OrderAction.LoadModel:
        state.models = [...new Set([...state.models, value])];
        return;
      case OrderAction.UnloadModel:
        state.models = state.models.filter((name) => name !== value);
        return;
      case OrderAction.LoadAdapter:
        state.adapters = [...new Set([...state.adapters, value])];
        return;
      case OrderAction.UnloadAdapter:
        state.adapters = state.adapters.filter((name) => name !== value);
        return;
      case OrderAction.SetVersion:
        state.version = value;
        return;
      case OrderAction.SetRole:
        state.role = value;
    }
  }
}
