// Event streams over chunked answers.
#include "streams.hpp"

namespace review {
namespace {

using std::chrono::steady_clock;

std::string
Chunk(const std::string& aText)
{
  std::ostringstream text;
  text << std::hex << aText.size() << "\r\n" << aText << "\r\n";
  return text.str();
}

} // namespace

stream_server::stream_server(options aOptions, ledger& aLedger)
  : mOptions(std::move(aOptions))
  , mLedger(aLedger)
  , mListener(std::make_unique<listener>(
      "127.0.0.1",
      [this](connection& aPeer) { Serve(aPeer); },
      mOptions.mPort))
{
}

void
stream_server::FallSilent(milliseconds aTime)
{
  mSilentUntil = steady_clock::now() + aTime;
}

std::vector<std::pair<std::string, std::string>>
stream_server::Headers(const http_message& aRequest) const
{
  const auto id = aRequest.Header("X-Request-Id");
  return { { "X-Request-Id", id },
           { "X-Upstream-Signature", "made-" + mOptions.mId + "-" + id },
           { "Content-Type", "text/event-stream" } };
}

std::string
stream_server::Event(int aNumber, std::string_view aText)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + std::string(aText) +
         "\n\n";
}

void
stream_server::Serve(connection& aPeer)
{
  constexpr std::chrono::seconds kIdle{ 30 };
  bool open = true;
  while (open) {
    const auto request = aPeer.Read(steady_clock::now() + kIdle);
    open = request && Answer(aPeer, *request);
  }
}

bool
stream_server::Answer(connection& aPeer, const http_message& aRequest)
{
  if (aRequest.Target() == kHealthPath) {
    return aPeer.Write(ToText(HealthAnswer(mOptions.mId)));
  }
  const auto id = aRequest.Header("X-Request-Id");
  const auto expected = aRequest.Header("X-Expect-Instance");
  if (!expected.empty() && expected != mOptions.mId) {
    return aPeer.Write(ToText(MakeResponse(
      421, { { "X-Request-Id", id }, { "X-Not-Executed", "1" } }, "")));
  }
  const auto last = aRequest.Header("Last-Event-Id");
  const int from = last.empty() ? 0 : std::stoi(last);
  const auto number = mLedger.Add({ id, mOptions.mId, steady_clock::now() });
  if (mOptions.mInstead) {
    if (const auto open = mOptions.mInstead(aPeer, aRequest, from + 1)) {
      return *open;
    }
  }
  mLedger.MarkRan(number);
  http_message head;
  head.mStart = "HTTP/1.1 200 OK";
  head.mHeaders = Headers(aRequest);
  head.mHeaders.emplace_back("Transfer-Encoding", "chunked");
  bool open = aPeer.Write(ToText(head));
  for (int event = from + 1; open && event <= mOptions.mEvents; ++event) {
    std::this_thread::sleep_for(mOptions.mInterval);
    std::this_thread::sleep_until(mSilentUntil.load());
    open = aPeer.Write(Chunk(Event(event, mOptions.mText)));
  }
  if (open) {
    mLedger.MarkAnswered(number);
  }
  return open && aPeer.Write("0\r\n\r\n");
}

} // namespace review
