package choose

// Estimate is the estimated quality of a version or cascade for one kind of request. Quality is the expected rating,
// from 0 to 1.
type Estimate struct {
	Mean     float64 // expected rating
	Lower    float64 // lower confidence bound of the expected rating
	Upper    float64 // upper confidence bound of the expected rating
	N        float64 // effective number of ratings
	Reliable bool    // based on enough ratings not to depend on the declared quality
}

// Estimator estimates the quality of a version or cascade for a kind of request. The label is the name of the version
// or the label of the cascade. Implementations must be safe for concurrent use and should not allocate.
type Estimator interface {
	Estimate(kind, label string, declared float64) Estimate
}

// Declared is an Estimator that returns the declared quality, without any ratings.
type Declared struct{}

// Estimate implements Estimator.
func (Declared) Estimate(_, _ string, declared float64) Estimate {
	return Estimate{Mean: declared, Lower: declared, Upper: declared}
}
