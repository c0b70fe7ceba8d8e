// The load of the prompt trial and the table of its result.
#include "sapphirespar/experiment/prompt_trial.hpp"

#include <iomanip>
#include <ostream>

namespace sapphirespar::experiment {

prompt_load
DigestsAndQuestions(bool aWithBursts)
{
  prompt_load load;
  load.mName = "digests and questions";
  load.mEngines = 112;
  load.mGateways = 87;
  load.mClasses = {
    { "digest", 2, false, 2000, 1200, 12'000, 230, 576, 5380, 6610, 380, 1116 },
    { "question", 0, true, 300, 300, 10'000, 125, 1131, 198, 628, 290, 954 },
    { "note", 1, true, 500, 500, 3000, 290, 2610, 568, 1800, 23, 90 },
  };
  if (aWithBursts) {
    load.mBursts = { { 0, 2.9, 500, 9500 }, { 1, 2.8, 11'000, 16'000 } };
  }
  load.mDurationMs = 18'000;
  return load;
}

prompt_load
SummariesAndQuestions(bool aWithBursts)
{
  prompt_load load;
  load.mName = "summaries and questions";
  load.mEngines = 112;
  load.mGateways = 60;
  load.mEngineSettings = { 16, 455'000, 7, 2048 };
  load.mFigures.mChunkTokens = 2048;
  load.mClasses = {
    { "summary", 1, false, 400, 300, 4000, 851, 2116, 3780, 2890, 52, 208 },
    { "question", 0, true, 250, 200, 12'000, 168, 1004, 198, 628, 290, 954 },
  };
  if (aWithBursts) {
    load.mBursts = { { 0, 2.76, 500, 9500 }, { 1, 2.8, 11'000, 16'000 } };
  }
  load.mDurationMs = 18'000;
  return load;
}

double
prompt_class_result::InTime() const
{
  return mOffered == 0
           ? 1
           : static_cast<double>(mInTime) / static_cast<double>(mOffered);
}

void
Print(std::ostream& aOut, const prompt_result& aResult)
{
  constexpr double kPercent = 100;
  constexpr double kMillion = 1e6;
  aOut << std::fixed << std::setprecision(1);
  for (const auto& kind : aResult.mClasses) {
    aOut << "  " << std::left << std::setw(9) << kind.mName << std::right
         << " asked " << std::setw(6) << kind.mOffered << " in_time "
         << std::setw(5) << kPercent * kind.InTime() << "% late "
         << std::setw(5) << kind.mLate << " refused " << std::setw(5)
         << kind.mRefused << " gone " << kind.mAbandoned << '\n';
  }
  aOut << "  shared_tokens " << aResult.mSharedTokens / kMillion << "M reread "
       << aResult.mRepeatedPrefillTokens / kMillion << "M preempted "
       << aResult.mPreemptions << '\n';
}

} // namespace sapphirespar::experiment
