package choose

// Estimate is what is known of the quality of a version or cascade for a kind of request. Ratings are 0 to 1.
type Estimate struct {
	Mean  float64
	Lower float64 // lower confidence bound of the expected rating
	Upper float64 // upper confidence bound of the expected rating
	N     float64 // effective number of ratings
	Firm  bool    // the ratings are evidence of their own, without the declared quality
}

// Estimator gives the quality of a version, by its name, or of a cascade, by its label, for a kind of request.
type Estimator interface {
	Estimate(kind, label string, declared float64) Estimate
}

// Declared is the Estimator that returns the declared quality.
type Declared struct{}

// Estimate implements Estimator.
func (Declared) Estimate(_, _ string, declared float64) Estimate {
	return Estimate{Mean: declared, Lower: declared, Upper: declared}
}
