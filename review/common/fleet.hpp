// A small deployment on loopback addresses: a stand-in of the platform's store,
// and gateways as processes of their own.
#pragma once

#include "net.hpp"

#include <sys/types.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace review {

// The platform's store. Values are kept and returned byte for byte.
class store
{
public:
  explicit store(const std::string& aHost);

  address Where() const { return mListener->Where(); }
  // Writes an object as the operator or a server does. Returns when the store
  // has acknowledged it.
  steady_time Write(const std::string& aKind,
                    const std::string& aName,
                    const std::string& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

private:
  struct object
  {
    std::string mSpec;
    std::uint64_t mRevision = 0;
  };

  void Serve(connection& aPeer);
  http_message Answer(const http_message& aRequest);
  http_message List(const std::string& aKind);
  http_message Change(const http_message& aRequest,
                      const std::string& aKind,
                      const std::string& aName,
                      const std::string& aRevision);
  static std::string ToText(const std::string& aName, const object& aObject);

  std::mutex mMutex;
  std::map<std::string, std::map<std::string, object>> mKinds;
  std::uint64_t mRevision = 100;
  std::unique_ptr<listener> mListener;
};

// The size of the fleet. Bounds are those of a small deployment.
struct fleet_options
{
  unsigned mGateways = 3;
  // The program of the deploy file.
  std::string mProgram = "target/sapphirespar-gateway";
};

// One gateway process with an address of its own.
struct gateway
{
  std::string mName;
  address mCallers;
  address mReadiness;
  std::filesystem::path mSettings;
  std::filesystem::path mLog;
  pid_t mPid = 0;
};

class fleet
{
public:
  // Throws std::runtime_error if the gateways cannot be started. They also end
  // if this process gets SIGTERM or SIGINT.
  fleet(fleet_options aOptions, const address& aStore);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  const std::vector<gateway>& Gateways() const { return mGateways; }
  const std::filesystem::path& Directory() const { return mDirectory; }
  void Signal(std::size_t aNumber, int aSignal);
  // Waits until all gateways say that they are ready.
  bool WaitUntilReady(milliseconds aTime);
  // Returns whether a process has ended without having been told to.
  bool AnyEnded();

private:
  void Start(gateway& aGateway);
  void Stop();

  fleet_options mOptions;
  std::filesystem::path mDirectory;
  std::vector<gateway> mGateways;
};

// Writes lines with the time since the start to a file and keeps them readable
// while the case runs.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  template<class... Parts>
  void Line(const Parts&... aParts)
  {
    std::ostringstream text;
    text << Elapsed(std::chrono::steady_clock::now()) << ' ';
    (text << ... << aParts);
    const std::scoped_lock lock(mMutex);
    mFile << text.str() << std::endl;
  }

  // Milliseconds since the start of the case.
  std::int64_t Elapsed(steady_time aTime) const
  {
    return std::chrono::duration_cast<milliseconds>(aTime - mStart).count();
  }

private:
  const steady_time mStart = std::chrono::steady_clock::now();
  std::mutex mMutex;
  std::ofstream mFile;
};

// The entry of a server in the store. Each start has a later time of birth.
std::string ServerEntry(const std::string& aService,
                        const address& aWhere,
                        const std::string& aState,
                        unsigned aSequence = 1,
                        const std::string& aVersion = "v1",
                        unsigned aStarts = 1,
                        unsigned aSlots = 6);

// Loopback addresses that depend on the process, so that cases can run at the
// same time.
std::string LoopbackHost(unsigned aNumber);

// What a case exits with.
enum class verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

// Whether the disruption is to be left out.
bool WithoutTrouble();

} // namespace review
