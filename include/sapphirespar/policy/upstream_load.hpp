// The work that requests put on one upstream, as counted where they enter.
#pragma once

namespace sapphirespar::policy {

struct upstream_load
{
  // Prompt tokens that the upstream has still to read, of requests of the most
  // urgent priority and of all others.
  double mUrgentTokens = 0;
  double mOtherTokens = 0;
  // Memory that running and waiting requests may come to need.
  double mMemoryTokens = 0;
  // Requests that were given to the upstream and have not ended.
  int mRunning = 0;
  // How many of these are streams whose callers notice short pauses.
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
