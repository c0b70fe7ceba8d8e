// The load of one upstream, as counted by the router that receives the
// requests.
#pragma once

namespace sapphirespar::policy {

struct upstream_load
{
  // Prompt tokens that the upstream has yet to process, of requests with the
  // most urgent priority and of all others.
  double mUrgentTokens = 0;
  double mOtherTokens = 0;
  // Tokens of memory that running and waiting requests may need.
  double mMemoryTokens = 0;
  // Requests that were sent to the upstream and have not ended.
  int mRunning = 0;
  // Running requests that are streams whose callers notice short pauses.
  int mInteractive = 0;

  upstream_load& operator+=(const upstream_load& aOther)
  {
    mUrgentTokens += aOther.mUrgentTokens;
    mOtherTokens += aOther.mOtherTokens;
    mMemoryTokens += aOther.mMemoryTokens;
    mRunning += aOther.mRunning;
    mInteractive += aOther.mInteractive;
    return *this;
  }

  upstream_load& operator-=(const upstream_load& aOther)
  {
    mUrgentTokens -= aOther.mUrgentTokens;
    mOtherTokens -= aOther.mOtherTokens;
    mMemoryTokens -= aOther.mMemoryTokens;
    mRunning -= aOther.mRunning;
    mInteractive -= aOther.mInteractive;
    return *this;
  }

  bool Empty() const { return mRunning == 0; }
};

} // namespace sapphirespar::policy
