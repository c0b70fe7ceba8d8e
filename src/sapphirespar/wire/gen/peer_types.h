#ifndef peer_TYPES_H
#define peer_TYPES_H

#include <iosfwd>

#include <thrift/Thrift.h>
#include <thrift/TApplicationException.h>
#include <thrift/TBase.h>
#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TTransport.h>

#include <functional>
#include <memory>


namespace sapphirespar { namespace wire { namespace gen {

class process;

class hello;

class version;

class demand;

class pool;

class contact;

class heartbeat;

class bundle_request;

class bundle_push;

class slot_request;

class slot_grant;

class slot_waiting;

class slot_refusal;

class slot_release;

class slot_holding;

class slot_pause;

class claim_request;

class claim_answer;

class claim_finished;

class fate_request;

class fate_answer;

class envelope;

typedef struct _process__isset {
  _process__isset() : vm(false), incarnation(false) {}
  bool vm :1;
  bool incarnation :1;
} _process__isset;

class process : public virtual ::apache::thrift::TBase {
 public:

  process(const process&);
  process(process&&) noexcept;
  process& operator=(const process&);
  process& operator=(process&&) noexcept;
  process() noexcept
          : vm(),
            incarnation(0) {
  }

  virtual ~process() noexcept;
  std::string vm;
  int64_t incarnation;

  _process__isset __isset;

  void __set_vm(const std::string& val);

  void __set_incarnation(const int64_t val);

  bool operator == (const process & rhs) const
  {
    if (!(vm == rhs.vm))
      return false;
    if (!(incarnation == rhs.incarnation))
      return false;
    return true;
  }
  bool operator != (const process &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const process & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(process &a, process &b);

std::ostream& operator<<(std::ostream& out, const process& obj);

typedef struct _hello__isset {
  _hello__isset() : sender(false) {}
  bool sender :1;
} _hello__isset;

class hello : public virtual ::apache::thrift::TBase {
 public:

  hello(const hello&);
  hello(hello&&) noexcept;
  hello& operator=(const hello&);
  hello& operator=(hello&&) noexcept;
  hello() noexcept {
  }

  virtual ~hello() noexcept;
  process sender;

  _hello__isset __isset;

  void __set_sender(const process& val);

  bool operator == (const hello & rhs) const
  {
    if (!(sender == rhs.sender))
      return false;
    return true;
  }
  bool operator != (const hello &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const hello & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(hello &a, hello &b);

std::ostream& operator<<(std::ostream& out, const hello& obj);

typedef struct _version__isset {
  _version__isset() : epoch(false), number(false) {}
  bool epoch :1;
  bool number :1;
} _version__isset;

class version : public virtual ::apache::thrift::TBase {
 public:

  version(const version&) noexcept;
  version(version&&) noexcept;
  version& operator=(const version&) noexcept;
  version& operator=(version&&) noexcept;
  version() noexcept
          : epoch(0),
            number(0) {
  }

  virtual ~version() noexcept;
  int64_t epoch;
  int64_t number;

  _version__isset __isset;

  void __set_epoch(const int64_t val);

  void __set_number(const int64_t val);

  bool operator == (const version & rhs) const
  {
    if (!(epoch == rhs.epoch))
      return false;
    if (!(number == rhs.number))
      return false;
    return true;
  }
  bool operator != (const version &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const version & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(version &a, version &b);

std::ostream& operator<<(std::ostream& out, const version& obj);

typedef struct _demand__isset {
  _demand__isset() : account(false), requests_per_1000_seconds(false) {}
  bool account :1;
  bool requests_per_1000_seconds :1;
} _demand__isset;

class demand : public virtual ::apache::thrift::TBase {
 public:

  demand(const demand&);
  demand(demand&&) noexcept;
  demand& operator=(const demand&);
  demand& operator=(demand&&) noexcept;
  demand() noexcept
         : account(),
           requests_per_1000_seconds(0) {
  }

  virtual ~demand() noexcept;
  std::string account;
  int64_t requests_per_1000_seconds;

  _demand__isset __isset;

  void __set_account(const std::string& val);

  void __set_requests_per_1000_seconds(const int64_t val);

  bool operator == (const demand & rhs) const
  {
    if (!(account == rhs.account))
      return false;
    if (!(requests_per_1000_seconds == rhs.requests_per_1000_seconds))
      return false;
    return true;
  }
  bool operator != (const demand &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const demand & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(demand &a, demand &b);

std::ostream& operator<<(std::ostream& out, const demand& obj);

typedef struct _pool__isset {
  _pool__isset() : name(false), slots(false), outstanding(false), queued(false) {}
  bool name :1;
  bool slots :1;
  bool outstanding :1;
  bool queued :1;
} _pool__isset;

class pool : public virtual ::apache::thrift::TBase {
 public:

  pool(const pool&);
  pool(pool&&) noexcept;
  pool& operator=(const pool&);
  pool& operator=(pool&&) noexcept;
  pool() noexcept
       : name(),
         slots(0),
         outstanding(0),
         queued(0) {
  }

  virtual ~pool() noexcept;
  std::string name;
  int32_t slots;
  int32_t outstanding;
  int32_t queued;

  _pool__isset __isset;

  void __set_name(const std::string& val);

  void __set_slots(const int32_t val);

  void __set_outstanding(const int32_t val);

  void __set_queued(const int32_t val);

  bool operator == (const pool & rhs) const
  {
    if (!(name == rhs.name))
      return false;
    if (!(slots == rhs.slots))
      return false;
    if (!(outstanding == rhs.outstanding))
      return false;
    if (!(queued == rhs.queued))
      return false;
    return true;
  }
  bool operator != (const pool &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const pool & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(pool &a, pool &b);

std::ostream& operator<<(std::ostream& out, const pool& obj);

typedef struct _contact__isset {
  _contact__isset() : data_centre(false), address(false), port(false), peer_port(false) {}
  bool data_centre :1;
  bool address :1;
  bool port :1;
  bool peer_port :1;
} _contact__isset;

class contact : public virtual ::apache::thrift::TBase {
 public:

  contact(const contact&);
  contact(contact&&) noexcept;
  contact& operator=(const contact&);
  contact& operator=(contact&&) noexcept;
  contact() noexcept
          : data_centre(),
            address(),
            port(0),
            peer_port(0) {
  }

  virtual ~contact() noexcept;
  std::string data_centre;
  std::string address;
  int32_t port;
  int32_t peer_port;

  _contact__isset __isset;

  void __set_data_centre(const std::string& val);

  void __set_address(const std::string& val);

  void __set_port(const int32_t val);

  void __set_peer_port(const int32_t val);

  bool operator == (const contact & rhs) const
  {
    if (!(data_centre == rhs.data_centre))
      return false;
    if (!(address == rhs.address))
      return false;
    if (!(port == rhs.port))
      return false;
    if (!(peer_port == rhs.peer_port))
      return false;
    return true;
  }
  bool operator != (const contact &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const contact & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(contact &a, contact &b);

std::ostream& operator<<(std::ostream& out, const contact& obj);

typedef struct _heartbeat__isset {
  _heartbeat__isset() : sender(false), sequence(false), leaving(false), bundle(false), reach(false), pools(false), demands(false), heard(false), lost(false), heard_is_all(false), store_era(false) {}
  bool sender :1;
  bool sequence :1;
  bool leaving :1;
  bool bundle :1;
  bool reach :1;
  bool pools :1;
  bool demands :1;
  bool heard :1;
  bool lost :1;
  bool heard_is_all :1;
  bool store_era :1;
} _heartbeat__isset;

class heartbeat : public virtual ::apache::thrift::TBase {
 public:

  heartbeat(const heartbeat&);
  heartbeat(heartbeat&&) noexcept;
  heartbeat& operator=(const heartbeat&);
  heartbeat& operator=(heartbeat&&) noexcept;
  heartbeat() noexcept
            : sequence(0),
              leaving(0),
              heard_is_all(0),
              store_era(0) {
  }

  virtual ~heartbeat() noexcept;
  process sender;
  int64_t sequence;
  bool leaving;
  version bundle;
  contact reach;
  std::vector<pool>  pools;
  std::vector<demand>  demands;
  std::vector<process>  heard;
  std::vector<process>  lost;
  bool heard_is_all;
  int64_t store_era;

  _heartbeat__isset __isset;

  void __set_sender(const process& val);

  void __set_sequence(const int64_t val);

  void __set_leaving(const bool val);

  void __set_bundle(const version& val);

  void __set_reach(const contact& val);

  void __set_pools(const std::vector<pool> & val);

  void __set_demands(const std::vector<demand> & val);

  void __set_heard(const std::vector<process> & val);

  void __set_lost(const std::vector<process> & val);

  void __set_heard_is_all(const bool val);

  void __set_store_era(const int64_t val);

  bool operator == (const heartbeat & rhs) const
  {
    if (!(sender == rhs.sender))
      return false;
    if (!(sequence == rhs.sequence))
      return false;
    if (!(leaving == rhs.leaving))
      return false;
    if (!(bundle == rhs.bundle))
      return false;
    if (__isset.reach != rhs.__isset.reach)
      return false;
    else if (__isset.reach && !(reach == rhs.reach))
      return false;
    if (__isset.pools != rhs.__isset.pools)
      return false;
    else if (__isset.pools && !(pools == rhs.pools))
      return false;
    if (__isset.demands != rhs.__isset.demands)
      return false;
    else if (__isset.demands && !(demands == rhs.demands))
      return false;
    if (__isset.heard != rhs.__isset.heard)
      return false;
    else if (__isset.heard && !(heard == rhs.heard))
      return false;
    if (__isset.lost != rhs.__isset.lost)
      return false;
    else if (__isset.lost && !(lost == rhs.lost))
      return false;
    if (__isset.heard_is_all != rhs.__isset.heard_is_all)
      return false;
    else if (__isset.heard_is_all && !(heard_is_all == rhs.heard_is_all))
      return false;
    if (__isset.store_era != rhs.__isset.store_era)
      return false;
    else if (__isset.store_era && !(store_era == rhs.store_era))
      return false;
    return true;
  }
  bool operator != (const heartbeat &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const heartbeat & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(heartbeat &a, heartbeat &b);

std::ostream& operator<<(std::ostream& out, const heartbeat& obj);

typedef struct _bundle_request__isset {
  _bundle_request__isset() : have(false) {}
  bool have :1;
} _bundle_request__isset;

class bundle_request : public virtual ::apache::thrift::TBase {
 public:

  bundle_request(const bundle_request&) noexcept;
  bundle_request(bundle_request&&) noexcept;
  bundle_request& operator=(const bundle_request&) noexcept;
  bundle_request& operator=(bundle_request&&) noexcept;
  bundle_request() noexcept {
  }

  virtual ~bundle_request() noexcept;
  version have;

  _bundle_request__isset __isset;

  void __set_have(const version& val);

  bool operator == (const bundle_request & rhs) const
  {
    if (!(have == rhs.have))
      return false;
    return true;
  }
  bool operator != (const bundle_request &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const bundle_request & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(bundle_request &a, bundle_request &b);

std::ostream& operator<<(std::ostream& out, const bundle_request& obj);

typedef struct _bundle_push__isset {
  _bundle_push__isset() : bundle(false), signed_bundle(false) {}
  bool bundle :1;
  bool signed_bundle :1;
} _bundle_push__isset;

class bundle_push : public virtual ::apache::thrift::TBase {
 public:

  bundle_push(const bundle_push&);
  bundle_push(bundle_push&&) noexcept;
  bundle_push& operator=(const bundle_push&);
  bundle_push& operator=(bundle_push&&) noexcept;
  bundle_push() noexcept
              : signed_bundle() {
  }

  virtual ~bundle_push() noexcept;
  version bundle;
  std::string signed_bundle;

  _bundle_push__isset __isset;

  void __set_bundle(const version& val);

  void __set_signed_bundle(const std::string& val);

  bool operator == (const bundle_push & rhs) const
  {
    if (!(bundle == rhs.bundle))
      return false;
    if (!(signed_bundle == rhs.signed_bundle))
      return false;
    return true;
  }
  bool operator != (const bundle_push &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const bundle_push & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(bundle_push &a, bundle_push &b);

std::ostream& operator<<(std::ostream& out, const bundle_push& obj);

typedef struct _slot_request__isset {
  _slot_request__isset() : request(false), request_class(false), account(false), pool(false), prompt_tokens(false), maximum_tokens(false), prefix_hash(false), first_token_due_ms(false), answer_due_ms(false), excluded(false) {}
  bool request :1;
  bool request_class :1;
  bool account :1;
  bool pool :1;
  bool prompt_tokens :1;
  bool maximum_tokens :1;
  bool prefix_hash :1;
  bool first_token_due_ms :1;
  bool answer_due_ms :1;
  bool excluded :1;
} _slot_request__isset;

class slot_request : public virtual ::apache::thrift::TBase {
 public:

  slot_request(const slot_request&);
  slot_request(slot_request&&) noexcept;
  slot_request& operator=(const slot_request&);
  slot_request& operator=(slot_request&&) noexcept;
  slot_request() noexcept
               : request(),
                 request_class(),
                 account(),
                 pool(),
                 prompt_tokens(0),
                 maximum_tokens(0),
                 prefix_hash(0),
                 first_token_due_ms(0),
                 answer_due_ms(0) {
  }

  virtual ~slot_request() noexcept;
  std::string request;
  std::string request_class;
  std::string account;
  std::string pool;
  int32_t prompt_tokens;
  int32_t maximum_tokens;
  int64_t prefix_hash;
  int64_t first_token_due_ms;
  int64_t answer_due_ms;
  std::vector<std::string>  excluded;

  _slot_request__isset __isset;

  void __set_request(const std::string& val);

  void __set_request_class(const std::string& val);

  void __set_account(const std::string& val);

  void __set_pool(const std::string& val);

  void __set_prompt_tokens(const int32_t val);

  void __set_maximum_tokens(const int32_t val);

  void __set_prefix_hash(const int64_t val);

  void __set_first_token_due_ms(const int64_t val);

  void __set_answer_due_ms(const int64_t val);

  void __set_excluded(const std::vector<std::string> & val);

  bool operator == (const slot_request & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    if (!(request_class == rhs.request_class))
      return false;
    if (!(account == rhs.account))
      return false;
    if (!(pool == rhs.pool))
      return false;
    if (!(prompt_tokens == rhs.prompt_tokens))
      return false;
    if (!(maximum_tokens == rhs.maximum_tokens))
      return false;
    if (!(prefix_hash == rhs.prefix_hash))
      return false;
    if (!(first_token_due_ms == rhs.first_token_due_ms))
      return false;
    if (!(answer_due_ms == rhs.answer_due_ms))
      return false;
    if (!(excluded == rhs.excluded))
      return false;
    return true;
  }
  bool operator != (const slot_request &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_request & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_request &a, slot_request &b);

std::ostream& operator<<(std::ostream& out, const slot_request& obj);

typedef struct _slot_grant__isset {
  _slot_grant__isset() : request(false), upstream(false) {}
  bool request :1;
  bool upstream :1;
} _slot_grant__isset;

class slot_grant : public virtual ::apache::thrift::TBase {
 public:

  slot_grant(const slot_grant&);
  slot_grant(slot_grant&&) noexcept;
  slot_grant& operator=(const slot_grant&);
  slot_grant& operator=(slot_grant&&) noexcept;
  slot_grant() noexcept
             : request(),
               upstream() {
  }

  virtual ~slot_grant() noexcept;
  std::string request;
  std::string upstream;

  _slot_grant__isset __isset;

  void __set_request(const std::string& val);

  void __set_upstream(const std::string& val);

  bool operator == (const slot_grant & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    if (!(upstream == rhs.upstream))
      return false;
    return true;
  }
  bool operator != (const slot_grant &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_grant & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_grant &a, slot_grant &b);

std::ostream& operator<<(std::ostream& out, const slot_grant& obj);

typedef struct _slot_waiting__isset {
  _slot_waiting__isset() : request(false) {}
  bool request :1;
} _slot_waiting__isset;

class slot_waiting : public virtual ::apache::thrift::TBase {
 public:

  slot_waiting(const slot_waiting&);
  slot_waiting(slot_waiting&&) noexcept;
  slot_waiting& operator=(const slot_waiting&);
  slot_waiting& operator=(slot_waiting&&) noexcept;
  slot_waiting() noexcept
               : request() {
  }

  virtual ~slot_waiting() noexcept;
  std::string request;

  _slot_waiting__isset __isset;

  void __set_request(const std::string& val);

  bool operator == (const slot_waiting & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    return true;
  }
  bool operator != (const slot_waiting &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_waiting & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_waiting &a, slot_waiting &b);

std::ostream& operator<<(std::ostream& out, const slot_waiting& obj);

typedef struct _slot_refusal__isset {
  _slot_refusal__isset() : request(false), reason(false), retry_after_ms(false) {}
  bool request :1;
  bool reason :1;
  bool retry_after_ms :1;
} _slot_refusal__isset;

class slot_refusal : public virtual ::apache::thrift::TBase {
 public:

  slot_refusal(const slot_refusal&);
  slot_refusal(slot_refusal&&) noexcept;
  slot_refusal& operator=(const slot_refusal&);
  slot_refusal& operator=(slot_refusal&&) noexcept;
  slot_refusal() noexcept
               : request(),
                 reason(0),
                 retry_after_ms(0) {
  }

  virtual ~slot_refusal() noexcept;
  std::string request;
  int32_t reason;
  int64_t retry_after_ms;

  _slot_refusal__isset __isset;

  void __set_request(const std::string& val);

  void __set_reason(const int32_t val);

  void __set_retry_after_ms(const int64_t val);

  bool operator == (const slot_refusal & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    if (!(reason == rhs.reason))
      return false;
    if (!(retry_after_ms == rhs.retry_after_ms))
      return false;
    return true;
  }
  bool operator != (const slot_refusal &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_refusal & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_refusal &a, slot_refusal &b);

std::ostream& operator<<(std::ostream& out, const slot_refusal& obj);

typedef struct _slot_release__isset {
  _slot_release__isset() : request(false), upstream(false), succeeded(false), tokens(false), first_token_ms(false), total_ms(false) {}
  bool request :1;
  bool upstream :1;
  bool succeeded :1;
  bool tokens :1;
  bool first_token_ms :1;
  bool total_ms :1;
} _slot_release__isset;

class slot_release : public virtual ::apache::thrift::TBase {
 public:

  slot_release(const slot_release&);
  slot_release(slot_release&&) noexcept;
  slot_release& operator=(const slot_release&);
  slot_release& operator=(slot_release&&) noexcept;
  slot_release() noexcept
               : request(),
                 upstream(),
                 succeeded(0),
                 tokens(0),
                 first_token_ms(0),
                 total_ms(0) {
  }

  virtual ~slot_release() noexcept;
  std::string request;
  std::string upstream;
  bool succeeded;
  int32_t tokens;
  int64_t first_token_ms;
  int64_t total_ms;

  _slot_release__isset __isset;

  void __set_request(const std::string& val);

  void __set_upstream(const std::string& val);

  void __set_succeeded(const bool val);

  void __set_tokens(const int32_t val);

  void __set_first_token_ms(const int64_t val);

  void __set_total_ms(const int64_t val);

  bool operator == (const slot_release & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    if (!(upstream == rhs.upstream))
      return false;
    if (!(succeeded == rhs.succeeded))
      return false;
    if (!(tokens == rhs.tokens))
      return false;
    if (!(first_token_ms == rhs.first_token_ms))
      return false;
    if (!(total_ms == rhs.total_ms))
      return false;
    return true;
  }
  bool operator != (const slot_release &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_release & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_release &a, slot_release &b);

std::ostream& operator<<(std::ostream& out, const slot_release& obj);

typedef struct _slot_holding__isset {
  _slot_holding__isset() : request(false), upstream(false) {}
  bool request :1;
  bool upstream :1;
} _slot_holding__isset;

class slot_holding : public virtual ::apache::thrift::TBase {
 public:

  slot_holding(const slot_holding&);
  slot_holding(slot_holding&&) noexcept;
  slot_holding& operator=(const slot_holding&);
  slot_holding& operator=(slot_holding&&) noexcept;
  slot_holding() noexcept
               : upstream() {
  }

  virtual ~slot_holding() noexcept;
  slot_request request;
  std::string upstream;

  _slot_holding__isset __isset;

  void __set_request(const slot_request& val);

  void __set_upstream(const std::string& val);

  bool operator == (const slot_holding & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    if (!(upstream == rhs.upstream))
      return false;
    return true;
  }
  bool operator != (const slot_holding &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_holding & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_holding &a, slot_holding &b);

std::ostream& operator<<(std::ostream& out, const slot_holding& obj);

typedef struct _slot_pause__isset {
  _slot_pause__isset() : request(false), resume(false) {}
  bool request :1;
  bool resume :1;
} _slot_pause__isset;

class slot_pause : public virtual ::apache::thrift::TBase {
 public:

  slot_pause(const slot_pause&);
  slot_pause(slot_pause&&) noexcept;
  slot_pause& operator=(const slot_pause&);
  slot_pause& operator=(slot_pause&&) noexcept;
  slot_pause() noexcept
             : request(),
               resume(0) {
  }

  virtual ~slot_pause() noexcept;
  std::string request;
  bool resume;

  _slot_pause__isset __isset;

  void __set_request(const std::string& val);

  void __set_resume(const bool val);

  bool operator == (const slot_pause & rhs) const
  {
    if (!(request == rhs.request))
      return false;
    if (!(resume == rhs.resume))
      return false;
    return true;
  }
  bool operator != (const slot_pause &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const slot_pause & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(slot_pause &a, slot_pause &b);

std::ostream& operator<<(std::ostream& out, const slot_pause& obj);

typedef struct _claim_request__isset {
  _claim_request__isset() : key(false), claimant(false), request(false), released(false), first_attempt(false) {}
  bool key :1;
  bool claimant :1;
  bool request :1;
  bool released :1;
  bool first_attempt :1;
} _claim_request__isset;

class claim_request : public virtual ::apache::thrift::TBase {
 public:

  claim_request(const claim_request&);
  claim_request(claim_request&&) noexcept;
  claim_request& operator=(const claim_request&);
  claim_request& operator=(claim_request&&) noexcept;
  claim_request() noexcept
                : key(),
                  request(),
                  released(),
                  first_attempt(0) {
  }

  virtual ~claim_request() noexcept;
  std::string key;
  process claimant;
  std::string request;
  std::string released;
  bool first_attempt;

  _claim_request__isset __isset;

  void __set_key(const std::string& val);

  void __set_claimant(const process& val);

  void __set_request(const std::string& val);

  void __set_released(const std::string& val);

  void __set_first_attempt(const bool val);

  bool operator == (const claim_request & rhs) const
  {
    if (!(key == rhs.key))
      return false;
    if (!(claimant == rhs.claimant))
      return false;
    if (!(request == rhs.request))
      return false;
    if (__isset.released != rhs.__isset.released)
      return false;
    else if (__isset.released && !(released == rhs.released))
      return false;
    if (__isset.first_attempt != rhs.__isset.first_attempt)
      return false;
    else if (__isset.first_attempt && !(first_attempt == rhs.first_attempt))
      return false;
    return true;
  }
  bool operator != (const claim_request &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const claim_request & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(claim_request &a, claim_request &b);

std::ostream& operator<<(std::ostream& out, const claim_request& obj);

typedef struct _claim_answer__isset {
  _claim_answer__isset() : key(false), request(false), verdict(false), holder(false), outcome(false), held_request(false) {}
  bool key :1;
  bool request :1;
  bool verdict :1;
  bool holder :1;
  bool outcome :1;
  bool held_request :1;
} _claim_answer__isset;

class claim_answer : public virtual ::apache::thrift::TBase {
 public:

  claim_answer(const claim_answer&);
  claim_answer(claim_answer&&) noexcept;
  claim_answer& operator=(const claim_answer&);
  claim_answer& operator=(claim_answer&&) noexcept;
  claim_answer() noexcept
               : key(),
                 request(),
                 verdict(0),
                 outcome(0),
                 held_request() {
  }

  virtual ~claim_answer() noexcept;
  std::string key;
  std::string request;
  int32_t verdict;
  process holder;
  int32_t outcome;
  std::string held_request;

  _claim_answer__isset __isset;

  void __set_key(const std::string& val);

  void __set_request(const std::string& val);

  void __set_verdict(const int32_t val);

  void __set_holder(const process& val);

  void __set_outcome(const int32_t val);

  void __set_held_request(const std::string& val);

  bool operator == (const claim_answer & rhs) const
  {
    if (!(key == rhs.key))
      return false;
    if (!(request == rhs.request))
      return false;
    if (!(verdict == rhs.verdict))
      return false;
    if (!(holder == rhs.holder))
      return false;
    if (!(outcome == rhs.outcome))
      return false;
    if (!(held_request == rhs.held_request))
      return false;
    return true;
  }
  bool operator != (const claim_answer &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const claim_answer & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(claim_answer &a, claim_answer &b);

std::ostream& operator<<(std::ostream& out, const claim_answer& obj);

typedef struct _claim_finished__isset {
  _claim_finished__isset() : key(false), request(false), outcome(false) {}
  bool key :1;
  bool request :1;
  bool outcome :1;
} _claim_finished__isset;

class claim_finished : public virtual ::apache::thrift::TBase {
 public:

  claim_finished(const claim_finished&);
  claim_finished(claim_finished&&) noexcept;
  claim_finished& operator=(const claim_finished&);
  claim_finished& operator=(claim_finished&&) noexcept;
  claim_finished() noexcept
                 : key(),
                   request(),
                   outcome(0) {
  }

  virtual ~claim_finished() noexcept;
  std::string key;
  std::string request;
  int32_t outcome;

  _claim_finished__isset __isset;

  void __set_key(const std::string& val);

  void __set_request(const std::string& val);

  void __set_outcome(const int32_t val);

  bool operator == (const claim_finished & rhs) const
  {
    if (!(key == rhs.key))
      return false;
    if (!(request == rhs.request))
      return false;
    if (!(outcome == rhs.outcome))
      return false;
    return true;
  }
  bool operator != (const claim_finished &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const claim_finished & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(claim_finished &a, claim_finished &b);

std::ostream& operator<<(std::ostream& out, const claim_finished& obj);

typedef struct _fate_request__isset {
  _fate_request__isset() : key(false), request(false) {}
  bool key :1;
  bool request :1;
} _fate_request__isset;

class fate_request : public virtual ::apache::thrift::TBase {
 public:

  fate_request(const fate_request&);
  fate_request(fate_request&&) noexcept;
  fate_request& operator=(const fate_request&);
  fate_request& operator=(fate_request&&) noexcept;
  fate_request() noexcept
               : key(),
                 request() {
  }

  virtual ~fate_request() noexcept;
  std::string key;
  std::string request;

  _fate_request__isset __isset;

  void __set_key(const std::string& val);

  void __set_request(const std::string& val);

  bool operator == (const fate_request & rhs) const
  {
    if (!(key == rhs.key))
      return false;
    if (!(request == rhs.request))
      return false;
    return true;
  }
  bool operator != (const fate_request &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const fate_request & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(fate_request &a, fate_request &b);

std::ostream& operator<<(std::ostream& out, const fate_request& obj);

typedef struct _fate_answer__isset {
  _fate_answer__isset() : key(false), request(false), outcome(false) {}
  bool key :1;
  bool request :1;
  bool outcome :1;
} _fate_answer__isset;

class fate_answer : public virtual ::apache::thrift::TBase {
 public:

  fate_answer(const fate_answer&);
  fate_answer(fate_answer&&) noexcept;
  fate_answer& operator=(const fate_answer&);
  fate_answer& operator=(fate_answer&&) noexcept;
  fate_answer() noexcept
              : key(),
                request(),
                outcome(0) {
  }

  virtual ~fate_answer() noexcept;
  std::string key;
  std::string request;
  int32_t outcome;

  _fate_answer__isset __isset;

  void __set_key(const std::string& val);

  void __set_request(const std::string& val);

  void __set_outcome(const int32_t val);

  bool operator == (const fate_answer & rhs) const
  {
    if (!(key == rhs.key))
      return false;
    if (!(request == rhs.request))
      return false;
    if (!(outcome == rhs.outcome))
      return false;
    return true;
  }
  bool operator != (const fate_answer &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const fate_answer & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(fate_answer &a, fate_answer &b);

std::ostream& operator<<(std::ostream& out, const fate_answer& obj);

typedef struct _envelope__isset {
  _envelope__isset() : heartbeat_value(false), bundle_request_value(false), bundle_push_value(false), slot_request_value(false), slot_grant_value(false), slot_refusal_value(false), slot_release_value(false), slot_holding_value(false), slot_pause_value(false), claim_request_value(false), claim_answer_value(false), fate_request_value(false), fate_answer_value(false), claim_finished_value(false), slot_waiting_value(false) {}
  bool heartbeat_value :1;
  bool bundle_request_value :1;
  bool bundle_push_value :1;
  bool slot_request_value :1;
  bool slot_grant_value :1;
  bool slot_refusal_value :1;
  bool slot_release_value :1;
  bool slot_holding_value :1;
  bool slot_pause_value :1;
  bool claim_request_value :1;
  bool claim_answer_value :1;
  bool fate_request_value :1;
  bool fate_answer_value :1;
  bool claim_finished_value :1;
  bool slot_waiting_value :1;
} _envelope__isset;

class envelope : public virtual ::apache::thrift::TBase {
 public:

  envelope(const envelope&);
  envelope(envelope&&) noexcept;
  envelope& operator=(const envelope&);
  envelope& operator=(envelope&&) noexcept;
  envelope() noexcept {
  }

  virtual ~envelope() noexcept;
  heartbeat heartbeat_value;
  bundle_request bundle_request_value;
  bundle_push bundle_push_value;
  slot_request slot_request_value;
  slot_grant slot_grant_value;
  slot_refusal slot_refusal_value;
  slot_release slot_release_value;
  slot_holding slot_holding_value;
  slot_pause slot_pause_value;
  claim_request claim_request_value;
  claim_answer claim_answer_value;
  fate_request fate_request_value;
  fate_answer fate_answer_value;
  claim_finished claim_finished_value;
  slot_waiting slot_waiting_value;

  _envelope__isset __isset;

  void __set_heartbeat_value(const heartbeat& val);

  void __set_bundle_request_value(const bundle_request& val);

  void __set_bundle_push_value(const bundle_push& val);

  void __set_slot_request_value(const slot_request& val);

  void __set_slot_grant_value(const slot_grant& val);

  void __set_slot_refusal_value(const slot_refusal& val);

  void __set_slot_release_value(const slot_release& val);

  void __set_slot_holding_value(const slot_holding& val);

  void __set_slot_pause_value(const slot_pause& val);

  void __set_claim_request_value(const claim_request& val);

  void __set_claim_answer_value(const claim_answer& val);

  void __set_fate_request_value(const fate_request& val);

  void __set_fate_answer_value(const fate_answer& val);

  void __set_claim_finished_value(const claim_finished& val);

  void __set_slot_waiting_value(const slot_waiting& val);

  bool operator == (const envelope & rhs) const
  {
    if (__isset.heartbeat_value != rhs.__isset.heartbeat_value)
      return false;
    else if (__isset.heartbeat_value && !(heartbeat_value == rhs.heartbeat_value))
      return false;
    if (__isset.bundle_request_value != rhs.__isset.bundle_request_value)
      return false;
    else if (__isset.bundle_request_value && !(bundle_request_value == rhs.bundle_request_value))
      return false;
    if (__isset.bundle_push_value != rhs.__isset.bundle_push_value)
      return false;
    else if (__isset.bundle_push_value && !(bundle_push_value == rhs.bundle_push_value))
      return false;
    if (__isset.slot_request_value != rhs.__isset.slot_request_value)
      return false;
    else if (__isset.slot_request_value && !(slot_request_value == rhs.slot_request_value))
      return false;
    if (__isset.slot_grant_value != rhs.__isset.slot_grant_value)
      return false;
    else if (__isset.slot_grant_value && !(slot_grant_value == rhs.slot_grant_value))
      return false;
    if (__isset.slot_refusal_value != rhs.__isset.slot_refusal_value)
      return false;
    else if (__isset.slot_refusal_value && !(slot_refusal_value == rhs.slot_refusal_value))
      return false;
    if (__isset.slot_release_value != rhs.__isset.slot_release_value)
      return false;
    else if (__isset.slot_release_value && !(slot_release_value == rhs.slot_release_value))
      return false;
    if (__isset.slot_holding_value != rhs.__isset.slot_holding_value)
      return false;
    else if (__isset.slot_holding_value && !(slot_holding_value == rhs.slot_holding_value))
      return false;
    if (__isset.slot_pause_value != rhs.__isset.slot_pause_value)
      return false;
    else if (__isset.slot_pause_value && !(slot_pause_value == rhs.slot_pause_value))
      return false;
    if (__isset.claim_request_value != rhs.__isset.claim_request_value)
      return false;
    else if (__isset.claim_request_value && !(claim_request_value == rhs.claim_request_value))
      return false;
    if (__isset.claim_answer_value != rhs.__isset.claim_answer_value)
      return false;
    else if (__isset.claim_answer_value && !(claim_answer_value == rhs.claim_answer_value))
      return false;
    if (__isset.fate_request_value != rhs.__isset.fate_request_value)
      return false;
    else if (__isset.fate_request_value && !(fate_request_value == rhs.fate_request_value))
      return false;
    if (__isset.fate_answer_value != rhs.__isset.fate_answer_value)
      return false;
    else if (__isset.fate_answer_value && !(fate_answer_value == rhs.fate_answer_value))
      return false;
    if (__isset.claim_finished_value != rhs.__isset.claim_finished_value)
      return false;
    else if (__isset.claim_finished_value && !(claim_finished_value == rhs.claim_finished_value))
      return false;
    if (__isset.slot_waiting_value != rhs.__isset.slot_waiting_value)
      return false;
    else if (__isset.slot_waiting_value && !(slot_waiting_value == rhs.slot_waiting_value))
      return false;
    return true;
  }
  bool operator != (const envelope &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const envelope & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(envelope &a, envelope &b);

std::ostream& operator<<(std::ostream& out, const envelope& obj);

}}} // namespace

#endif
