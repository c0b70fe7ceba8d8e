// Stand-ins of model servers, which stream events and can go on after any of
// them.
#pragma once

#include "traffic.hpp"

namespace review {

class stream_server
{
public:
  struct options
  {
    std::string mId;
    // What each event says.
    std::string mText;
    int mEvents = 20;
    milliseconds mInterval{ 100 };
    // Answers a request instead of the stream. Returns nothing if the stream is
    // sent as usual; otherwise whether the connection stays open.
    std::function<std::optional<bool>(connection& aPeer,
                                      const http_message& aRequest,
                                      int aNextEvent)>
      mInstead;
    // Zero for a free port.
    std::uint16_t mPort = 0;
  };

  stream_server(options aOptions, ledger& aLedger);

  const std::string& Id() const { return mOptions.mId; }
  address Where() const { return mListener->Where(); }
  // A sound server may fall silent for a second or so and go on.
  void FallSilent(milliseconds aTime);
  // The process ends: open connections end with it.
  void Exit() { mListener->Close(); }

  // The headers of an answer to this request.
  std::vector<std::pair<std::string, std::string>> Headers(
    const http_message& aRequest) const;
  static std::string Event(int aNumber, std::string_view aText);

private:
  void Serve(connection& aPeer);
  bool Answer(connection& aPeer, const http_message& aRequest);

  options mOptions;
  ledger& mLedger;
  std::atomic<steady_time> mSilentUntil{ steady_time{} };
  std::unique_ptr<listener> mListener;
};

} // namespace review
