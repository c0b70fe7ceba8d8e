// Keeps a histogram of answer lengths.
#include "sapphirespar/policy/length_estimate.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <vector>

namespace sapphirespar::policy {

namespace {

namespace bh = boost::histogram;

// Logarithmic bins; each upper edge is about 13 % above the lower one.
constexpr unsigned kBins = 100;
constexpr double kLowestTokens = 1;
constexpr double kHighestTokens = 200000;

// After each such number of answers the weights of all earlier ones are halved.
constexpr unsigned kHalfLifeAnswers = 500;
// Quantiles are unknown below this weight.
constexpr unsigned kMinimumAnswers = 20;

using length_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto
MakeHistogram()
{
  return bh::make_histogram_with(
    std::vector<double>(), length_axis(kBins, kLowestTokens, kHighestTokens));
}

} // namespace

struct length_estimate::state
{
  decltype(MakeHistogram()) mHistogram = MakeHistogram();
  // Sum of all bins.
  double mWeight = 0;
  unsigned mSinceHalving = 0;
};

length_estimate::length_estimate()
  : mState(std::make_unique<state>())
{
}

length_estimate::~length_estimate() = default;
length_estimate::length_estimate(length_estimate&&) noexcept = default;
length_estimate& length_estimate::operator=(length_estimate&&) noexcept =
  default;

void
length_estimate::Add(unsigned aTokens)
{
  mState->mHistogram(static_cast<double>(aTokens));
  mState->mWeight += 1;
  if (++mState->mSinceHalving == kHalfLifeAnswers) {
    mState->mHistogram *= 0.5;
    mState->mWeight *= 0.5;
    mState->mSinceHalving = 0;
  }
}

double
length_estimate::Quantile(double aQuantile) const
{
  if (mState->mWeight < kMinimumAnswers) {
    return 0;
  }
  const auto wanted = aQuantile * mState->mWeight;
  const auto& axis = mState->mHistogram.axis();
  double sum = mState->mHistogram.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    sum += mState->mHistogram.at(i);
    if (sum >= wanted) {
      return axis.bin(i).upper();
    }
  }
  return kHighestTokens;
}

} // namespace sapphirespar::policy
