package cascade

import "github.com/bramleytrail/bramleytrail/object"

const (
	// answerWeight is the value of a token of the answer relative to that of a prompt token, each compared with its price.
	answerWeight = 10
	// defaultReadShare is the price of a prompt token in the default tariffs, as a fraction of that of a generated token.
	defaultReadShare = 0.25
)

// Value returns what a good answer is worth, in the unit of prices. It grows with the length of the prompt and, more, with
// that of the answer. multiple relates it to the tariff of the largest model: operators offer that model because its
// answers are worth its price.
func Value(multiple float64, largest object.Tariff, prompt, answer int64) float64 {
	return multiple * largest.Price(prompt, answerWeight*answer)
}

// normalCongestion is the congestion up to which a model is not busy: the pace of streams varies by as much with the mix of requests.
const normalCongestion = 1.75

// CongestedPrice returns what an answer by a busy model costs. congestion is the time between two events of its streams as a multiple of that
// in an idle service. A busy model answers one request at the expense of others, so it is asked for those that are worth most for its time:
// the price stands for this time, as it does for operators. The time that others wait rises faster than the congestion.
func CongestedPrice(price, congestion float64) float64 {
	excess := max(1, congestion/normalCongestion)
	return price * excess * excess
}

// Tariffs returns the tariffs of models, which are ordered from the smallest to the largest. If the service does not
// declare a price for each of them, the prices are in proportion to the order of the models.
func Tariffs(service *object.RoutedService, models []string) []object.Tariff {
	list := make([]object.Tariff, len(models))
	for i, m := range models {
		t, ok := service.Tariffs[m]
		if !ok {
			return defaultTariffs(len(models))
		}
		list[i] = t
	}
	return list
}

func defaultTariffs(models int) []object.Tariff {
	list := make([]object.Tariff, models)
	for i := range list {
		generated := float64(i+1) / float64(models)
		list[i] = object.Tariff{Read: defaultReadShare * generated, Generated: generated}
	}
	return list
}
