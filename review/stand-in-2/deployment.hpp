// A small deployment on loopback: the platform's store, servers that list
// themselves there, and gateways as processes.
#pragma once

#include "http.hpp"

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

// Writes a line for each thing that was sent, answered and run.
class record
{
public:
  explicit record(const std::string& aFile);
  void Add(const std::string& aLine);
  // Milliseconds since the record was begun.
  std::int64_t Now() const;

private:
  const clock::time_point mBegin = clock::now();
  std::mutex mMutex;
  std::ofstream mFile;
};

// The platform's store: objects by kind and name, each with a revision.
class store
{
public:
  store();

  const address& Address() const { return mServer->Address(); }
  // Writes or replaces the JSON text of an object's value.
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aValue);
  void Remove(const std::string& aKind, const std::string& aName);
  // Answers a call that came in on aConnection.
  bool Serve(const http_call& aCall, connection& aConnection);

private:
  struct object
  {
    std::uint64_t mRevision = 0;
    std::string mValue;
  };

  std::pair<int, std::string> Answer(const http_call& aCall);
  std::pair<int, std::string> Write(const http_call& aCall,
                                    const std::string& aKind,
                                    const std::string& aName);
  static std::string Text(const std::string& aName, const object& aObject);

  std::mutex mMutex;
  std::uint64_t mRevision = 1;
  std::map<std::string, std::map<std::string, object>> mObjects;
  std::unique_ptr<http_server> mServer;
};

// A machine's path to the store, which can be cut off.
class store_path
{
public:
  explicit store_path(store& aStore);

  const address& Address() const { return mServer->Address(); }
  // While cut off, calls get no answer.
  void SetCut(bool aCut);
  // Whether the servers' entries were read since the path was last changed.
  bool WasListRead() const { return mListRead; }

private:
  store& mStore;
  std::atomic<bool> mCut{ false };
  std::atomic<bool> mListRead{ false };
  std::unique_ptr<http_server> mServer;
};

// One gateway: its settings and its process.
class gateway
{
public:
  // aNumber: from 1, also the last part of the address.
  gateway(const std::string& aSubnet,
          unsigned aNumber,
          const std::string& aDirectory);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  const std::string& Name() const { return mName; }
  const address& Callers() const { return mCallers; }
  std::string Seed() const { return mAdmin.Text(); }
  pid_t Process() const { return mProcess; }

  void WriteSettings(const std::string& aStore,
                     const std::vector<std::string>& aSeeds,
                     bool aFirstStart);
  void Start(const std::string& aProgram);
  void Signal(int aSignal) const;
  // Waits for the end of the process. Returns its status if it ended in time.
  std::optional<int> Wait(milliseconds aTime);
  // Ends the process without notice.
  void Kill();
  bool IsReady() const;

private:
  std::string mName;
  std::string mDirectory;
  std::string mIp;
  address mCallers;
  address mReadiness;
  address mAdmin;
  address mEntry;
  std::uint16_t mMetrics = 0;
  pid_t mProcess = 0;
};

// The gateways of a deployment, with its store.
class fleet
{
public:
  explicit fleet(unsigned aGateways);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  store& Store() { return mStore; }
  store_path& Path(std::size_t aGateway) { return *mPaths.at(aGateway); }
  const std::vector<std::unique_ptr<gateway>>& Gateways() const
  {
    return mGateways;
  }
  // Starts all gateways and waits until they are ready. Returns whether they
  // are.
  bool Start();
  // Ends all processes at once and starts them again.
  void KillAll();
  bool AwaitReady(milliseconds aTime) const;

private:
  void StartProcesses(bool aFirstStart);

  std::string mProgram;
  std::string mDirectory;
  store mStore;
  std::vector<std::unique_ptr<store_path>> mPaths;
  std::vector<std::unique_ptr<gateway>> mGateways;
};

// The value of a server's entry in the store.
struct server_entry
{
  std::string mService;
  address mAddress;
  // JSON text of the version; empty leaves the field out.
  std::string mVersion = "\"v1\"";
  unsigned mSlots = 64;
  std::string mState = "ready";
  std::int64_t mBorn = 0;

  std::string Text() const;
};

// Milliseconds since the start of 1970.
std::int64_t UnixMs();

// What the cases have in common: the argument is the folder of the record, and
// TROUBLE=0 leaves the disruption out. Returns the exit status.
int RunCase(int aCount,
            char** aArguments,
            const std::function<int(record&, bool aTrouble)>& aCase);

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

} // namespace review
