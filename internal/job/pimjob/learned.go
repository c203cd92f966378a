package pimjob

type (
	// Learned is what the planner of a leader has learned, so that the next leader's planner starts from it. The
	// state stores it and takes no decision by it.
	Learned struct {
		// Images are the best-effort images.
		Images []string `msgpack:"i"`
		// Serving has an element for each serving image.
		Serving []LearnedInterference `msgpack:"s"`
		Cycle   LearnedCycle          `msgpack:"c"`
		// Durations has an element for each queue with tasks that ended.
		Durations []LearnedDurations `msgpack:"d,omitempty"`
		Health    LearnedHealth      `msgpack:"h,omitempty"`
	}

	// LearnedHealth is which hosts are suspected to be faulty, and how many runs have ended and failed on the others, with
	// halving weights (see pimhealth).
	LearnedHealth struct {
		Hosts    []LearnedHost `msgpack:"h,omitempty"`
		Ends     float64       `msgpack:"e,omitempty"`
		Failures float64       `msgpack:"f,omitempty"`
	}

	// LearnedHost is the evidence that a generation of a worker is faulty. Suspect means that it was avoided or probed,
	// Doublings how often its next backoff is doubled.
	LearnedHost struct {
		Worker     string  `msgpack:"w"`
		Generation int64   `msgpack:"b"`
		Evidence   float64 `msgpack:"e"`
		Suspect    bool    `msgpack:"s,omitempty"`
		Doublings  int     `msgpack:"d,omitempty"`
	}

	// LearnedDurations is the distribution of the durations of a queue's tasks divided by their estimates: the weights
	// of logarithmic buckets, from the bucket First on (see pimduration).
	LearnedDurations struct {
		Queue   string    `msgpack:"q"`
		First   int       `msgpack:"f"`
		Weights []float32 `msgpack:"w"`
	}

	// LearnedInterference is the headroom that a serving image loses for each core of a best-effort image, and the
	// weight of the samples behind it, in squared cores. Both are in the order of Learned.Images.
	LearnedInterference struct {
		Image   string    `msgpack:"i"`
		PerCore []float32 `msgpack:"p"`
		Weight  []float32 `msgpack:"w"`
	}

	// LearnedCycle is what is known about the load cycles of all serving tasks: the prediction errors of each period
	// that is told apart and of the previous value, and the means of the headroom and of its amplitude.
	LearnedCycle struct {
		PeriodErrors     []float64 `msgpack:"e"`
		PersistenceError float64   `msgpack:"p"`
		Samples          int       `msgpack:"n"`
		MeanHeadroom     float64   `msgpack:"h"`
		MeanAmplitude    float64   `msgpack:"a"`
	}
)

// Learned returns what the planners of earlier leaders have learned.
func (s *State) Learned() Learned { return s.tables.Learned }
