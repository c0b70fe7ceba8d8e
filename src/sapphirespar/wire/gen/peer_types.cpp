#include "peer_types.h"

#include <algorithm>
#include <ostream>

#include <thrift/TToString.h>

namespace sapphirespar { namespace wire { namespace gen {


process::~process() noexcept {
}


void process::__set_vm(const std::string& val) {
  this->vm = val;
}

void process::__set_incarnation(const int64_t val) {
  this->incarnation = val;
}
std::ostream& operator<<(std::ostream& out, const process& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t process::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->vm);
          this->__isset.vm = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->incarnation);
          this->__isset.incarnation = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t process::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("process");

  xfer += oprot->writeFieldBegin("vm", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->vm);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("incarnation", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->incarnation);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(process &a, process &b) {
  using ::std::swap;
  swap(a.vm, b.vm);
  swap(a.incarnation, b.incarnation);
  swap(a.__isset, b.__isset);
}

process::process(const process& other0) {
  vm = other0.vm;
  incarnation = other0.incarnation;
  __isset = other0.__isset;
}
process::process(process&& other1) noexcept {
  vm = std::move(other1.vm);
  incarnation = other1.incarnation;
  __isset = other1.__isset;
}
process& process::operator=(const process& other2) {
  vm = other2.vm;
  incarnation = other2.incarnation;
  __isset = other2.__isset;
  return *this;
}
process& process::operator=(process&& other3) noexcept {
  vm = std::move(other3.vm);
  incarnation = other3.incarnation;
  __isset = other3.__isset;
  return *this;
}
void process::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "process(";
  out << "vm=" << to_string(vm);
  out << ", " << "incarnation=" << to_string(incarnation);
  out << ")";
}


hello::~hello() noexcept {
}


void hello::__set_sender(const process& val) {
  this->sender = val;
}
std::ostream& operator<<(std::ostream& out, const hello& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t hello::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->sender.read(iprot);
          this->__isset.sender = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t hello::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("hello");

  xfer += oprot->writeFieldBegin("sender", ::apache::thrift::protocol::T_STRUCT, 1);
  xfer += this->sender.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(hello &a, hello &b) {
  using ::std::swap;
  swap(a.sender, b.sender);
  swap(a.__isset, b.__isset);
}

hello::hello(const hello& other4) {
  sender = other4.sender;
  __isset = other4.__isset;
}
hello::hello(hello&& other5) noexcept {
  sender = std::move(other5.sender);
  __isset = other5.__isset;
}
hello& hello::operator=(const hello& other6) {
  sender = other6.sender;
  __isset = other6.__isset;
  return *this;
}
hello& hello::operator=(hello&& other7) noexcept {
  sender = std::move(other7.sender);
  __isset = other7.__isset;
  return *this;
}
void hello::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "hello(";
  out << "sender=" << to_string(sender);
  out << ")";
}


version::~version() noexcept {
}


void version::__set_epoch(const int64_t val) {
  this->epoch = val;
}

void version::__set_number(const int64_t val) {
  this->number = val;
}
std::ostream& operator<<(std::ostream& out, const version& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t version::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->epoch);
          this->__isset.epoch = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->number);
          this->__isset.number = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t version::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("version");

  xfer += oprot->writeFieldBegin("epoch", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->epoch);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("number", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->number);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(version &a, version &b) {
  using ::std::swap;
  swap(a.epoch, b.epoch);
  swap(a.number, b.number);
  swap(a.__isset, b.__isset);
}

version::version(const version& other8) noexcept {
  epoch = other8.epoch;
  number = other8.number;
  __isset = other8.__isset;
}
version::version(version&& other9) noexcept {
  epoch = other9.epoch;
  number = other9.number;
  __isset = other9.__isset;
}
version& version::operator=(const version& other10) noexcept {
  epoch = other10.epoch;
  number = other10.number;
  __isset = other10.__isset;
  return *this;
}
version& version::operator=(version&& other11) noexcept {
  epoch = other11.epoch;
  number = other11.number;
  __isset = other11.__isset;
  return *this;
}
void version::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "version(";
  out << "epoch=" << to_string(epoch);
  out << ", " << "number=" << to_string(number);
  out << ")";
}


demand::~demand() noexcept {
}


void demand::__set_account(const std::string& val) {
  this->account = val;
}

void demand::__set_requests_per_1000_seconds(const int64_t val) {
  this->requests_per_1000_seconds = val;
}
std::ostream& operator<<(std::ostream& out, const demand& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t demand::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->account);
          this->__isset.account = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->requests_per_1000_seconds);
          this->__isset.requests_per_1000_seconds = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t demand::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("demand");

  xfer += oprot->writeFieldBegin("account", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->account);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("requests_per_1000_seconds", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->requests_per_1000_seconds);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(demand &a, demand &b) {
  using ::std::swap;
  swap(a.account, b.account);
  swap(a.requests_per_1000_seconds, b.requests_per_1000_seconds);
  swap(a.__isset, b.__isset);
}

demand::demand(const demand& other12) {
  account = other12.account;
  requests_per_1000_seconds = other12.requests_per_1000_seconds;
  __isset = other12.__isset;
}
demand::demand(demand&& other13) noexcept {
  account = std::move(other13.account);
  requests_per_1000_seconds = other13.requests_per_1000_seconds;
  __isset = other13.__isset;
}
demand& demand::operator=(const demand& other14) {
  account = other14.account;
  requests_per_1000_seconds = other14.requests_per_1000_seconds;
  __isset = other14.__isset;
  return *this;
}
demand& demand::operator=(demand&& other15) noexcept {
  account = std::move(other15.account);
  requests_per_1000_seconds = other15.requests_per_1000_seconds;
  __isset = other15.__isset;
  return *this;
}
void demand::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "demand(";
  out << "account=" << to_string(account);
  out << ", " << "requests_per_1000_seconds=" << to_string(requests_per_1000_seconds);
  out << ")";
}


pool::~pool() noexcept {
}


void pool::__set_name(const std::string& val) {
  this->name = val;
}

void pool::__set_slots(const int32_t val) {
  this->slots = val;
}

void pool::__set_outstanding(const int32_t val) {
  this->outstanding = val;
}

void pool::__set_queued(const int32_t val) {
  this->queued = val;
}
std::ostream& operator<<(std::ostream& out, const pool& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t pool::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->name);
          this->__isset.name = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->slots);
          this->__isset.slots = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->outstanding);
          this->__isset.outstanding = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->queued);
          this->__isset.queued = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t pool::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("pool");

  xfer += oprot->writeFieldBegin("name", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->name);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("slots", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->slots);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("outstanding", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->outstanding);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("queued", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->queued);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(pool &a, pool &b) {
  using ::std::swap;
  swap(a.name, b.name);
  swap(a.slots, b.slots);
  swap(a.outstanding, b.outstanding);
  swap(a.queued, b.queued);
  swap(a.__isset, b.__isset);
}

pool::pool(const pool& other16) {
  name = other16.name;
  slots = other16.slots;
  outstanding = other16.outstanding;
  queued = other16.queued;
  __isset = other16.__isset;
}
pool::pool(pool&& other17) noexcept {
  name = std::move(other17.name);
  slots = other17.slots;
  outstanding = other17.outstanding;
  queued = other17.queued;
  __isset = other17.__isset;
}
pool& pool::operator=(const pool& other18) {
  name = other18.name;
  slots = other18.slots;
  outstanding = other18.outstanding;
  queued = other18.queued;
  __isset = other18.__isset;
  return *this;
}
pool& pool::operator=(pool&& other19) noexcept {
  name = std::move(other19.name);
  slots = other19.slots;
  outstanding = other19.outstanding;
  queued = other19.queued;
  __isset = other19.__isset;
  return *this;
}
void pool::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "pool(";
  out << "name=" << to_string(name);
  out << ", " << "slots=" << to_string(slots);
  out << ", " << "outstanding=" << to_string(outstanding);
  out << ", " << "queued=" << to_string(queued);
  out << ")";
}


contact::~contact() noexcept {
}


void contact::__set_data_centre(const std::string& val) {
  this->data_centre = val;
}

void contact::__set_address(const std::string& val) {
  this->address = val;
}

void contact::__set_port(const int32_t val) {
  this->port = val;
}

void contact::__set_peer_port(const int32_t val) {
  this->peer_port = val;
}
std::ostream& operator<<(std::ostream& out, const contact& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t contact::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->data_centre);
          this->__isset.data_centre = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->address);
          this->__isset.address = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->port);
          this->__isset.port = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->peer_port);
          this->__isset.peer_port = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t contact::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("contact");

  xfer += oprot->writeFieldBegin("data_centre", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->data_centre);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("address", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->address);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("port", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->port);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("peer_port", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->peer_port);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(contact &a, contact &b) {
  using ::std::swap;
  swap(a.data_centre, b.data_centre);
  swap(a.address, b.address);
  swap(a.port, b.port);
  swap(a.peer_port, b.peer_port);
  swap(a.__isset, b.__isset);
}

contact::contact(const contact& other20) {
  data_centre = other20.data_centre;
  address = other20.address;
  port = other20.port;
  peer_port = other20.peer_port;
  __isset = other20.__isset;
}
contact::contact(contact&& other21) noexcept {
  data_centre = std::move(other21.data_centre);
  address = std::move(other21.address);
  port = other21.port;
  peer_port = other21.peer_port;
  __isset = other21.__isset;
}
contact& contact::operator=(const contact& other22) {
  data_centre = other22.data_centre;
  address = other22.address;
  port = other22.port;
  peer_port = other22.peer_port;
  __isset = other22.__isset;
  return *this;
}
contact& contact::operator=(contact&& other23) noexcept {
  data_centre = std::move(other23.data_centre);
  address = std::move(other23.address);
  port = other23.port;
  peer_port = other23.peer_port;
  __isset = other23.__isset;
  return *this;
}
void contact::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "contact(";
  out << "data_centre=" << to_string(data_centre);
  out << ", " << "address=" << to_string(address);
  out << ", " << "port=" << to_string(port);
  out << ", " << "peer_port=" << to_string(peer_port);
  out << ")";
}


heartbeat::~heartbeat() noexcept {
}


void heartbeat::__set_sender(const process& val) {
  this->sender = val;
}

void heartbeat::__set_sequence(const int64_t val) {
  this->sequence = val;
}

void heartbeat::__set_leaving(const bool val) {
  this->leaving = val;
}

void heartbeat::__set_bundle(const version& val) {
  this->bundle = val;
}

void heartbeat::__set_reach(const contact& val) {
  this->reach = val;
__isset.reach = true;
}

void heartbeat::__set_pools(const std::vector<pool> & val) {
  this->pools = val;
__isset.pools = true;
}

void heartbeat::__set_demands(const std::vector<demand> & val) {
  this->demands = val;
__isset.demands = true;
}

void heartbeat::__set_heard(const std::vector<process> & val) {
  this->heard = val;
__isset.heard = true;
}

void heartbeat::__set_lost(const std::vector<process> & val) {
  this->lost = val;
__isset.lost = true;
}

void heartbeat::__set_heard_is_all(const bool val) {
  this->heard_is_all = val;
__isset.heard_is_all = true;
}

void heartbeat::__set_store_era(const int64_t val) {
  this->store_era = val;
__isset.store_era = true;
}
std::ostream& operator<<(std::ostream& out, const heartbeat& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t heartbeat::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->sender.read(iprot);
          this->__isset.sender = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->sequence);
          this->__isset.sequence = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->leaving);
          this->__isset.leaving = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->bundle.read(iprot);
          this->__isset.bundle = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->reach.read(iprot);
          this->__isset.reach = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->pools.clear();
            uint32_t _size24;
            ::apache::thrift::protocol::TType _etype27;
            xfer += iprot->readListBegin(_etype27, _size24);
            this->pools.resize(_size24);
            uint32_t _i28;
            for (_i28 = 0; _i28 < _size24; ++_i28)
            {
              xfer += this->pools[_i28].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.pools = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 7:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->demands.clear();
            uint32_t _size29;
            ::apache::thrift::protocol::TType _etype32;
            xfer += iprot->readListBegin(_etype32, _size29);
            this->demands.resize(_size29);
            uint32_t _i33;
            for (_i33 = 0; _i33 < _size29; ++_i33)
            {
              xfer += this->demands[_i33].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.demands = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 8:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->heard.clear();
            uint32_t _size34;
            ::apache::thrift::protocol::TType _etype37;
            xfer += iprot->readListBegin(_etype37, _size34);
            this->heard.resize(_size34);
            uint32_t _i38;
            for (_i38 = 0; _i38 < _size34; ++_i38)
            {
              xfer += this->heard[_i38].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.heard = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 9:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->lost.clear();
            uint32_t _size39;
            ::apache::thrift::protocol::TType _etype42;
            xfer += iprot->readListBegin(_etype42, _size39);
            this->lost.resize(_size39);
            uint32_t _i43;
            for (_i43 = 0; _i43 < _size39; ++_i43)
            {
              xfer += this->lost[_i43].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.lost = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 10:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->heard_is_all);
          this->__isset.heard_is_all = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 11:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->store_era);
          this->__isset.store_era = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t heartbeat::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("heartbeat");

  xfer += oprot->writeFieldBegin("sender", ::apache::thrift::protocol::T_STRUCT, 1);
  xfer += this->sender.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("sequence", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->sequence);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("leaving", ::apache::thrift::protocol::T_BOOL, 3);
  xfer += oprot->writeBool(this->leaving);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("bundle", ::apache::thrift::protocol::T_STRUCT, 4);
  xfer += this->bundle.write(oprot);
  xfer += oprot->writeFieldEnd();

  if (this->__isset.reach) {
    xfer += oprot->writeFieldBegin("reach", ::apache::thrift::protocol::T_STRUCT, 5);
    xfer += this->reach.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.pools) {
    xfer += oprot->writeFieldBegin("pools", ::apache::thrift::protocol::T_LIST, 6);
    {
      xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->pools.size()));
      std::vector<pool> ::const_iterator _iter44;
      for (_iter44 = this->pools.begin(); _iter44 != this->pools.end(); ++_iter44)
      {
        xfer += (*_iter44).write(oprot);
      }
      xfer += oprot->writeListEnd();
    }
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.demands) {
    xfer += oprot->writeFieldBegin("demands", ::apache::thrift::protocol::T_LIST, 7);
    {
      xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->demands.size()));
      std::vector<demand> ::const_iterator _iter45;
      for (_iter45 = this->demands.begin(); _iter45 != this->demands.end(); ++_iter45)
      {
        xfer += (*_iter45).write(oprot);
      }
      xfer += oprot->writeListEnd();
    }
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.heard) {
    xfer += oprot->writeFieldBegin("heard", ::apache::thrift::protocol::T_LIST, 8);
    {
      xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->heard.size()));
      std::vector<process> ::const_iterator _iter46;
      for (_iter46 = this->heard.begin(); _iter46 != this->heard.end(); ++_iter46)
      {
        xfer += (*_iter46).write(oprot);
      }
      xfer += oprot->writeListEnd();
    }
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.lost) {
    xfer += oprot->writeFieldBegin("lost", ::apache::thrift::protocol::T_LIST, 9);
    {
      xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->lost.size()));
      std::vector<process> ::const_iterator _iter47;
      for (_iter47 = this->lost.begin(); _iter47 != this->lost.end(); ++_iter47)
      {
        xfer += (*_iter47).write(oprot);
      }
      xfer += oprot->writeListEnd();
    }
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.heard_is_all) {
    xfer += oprot->writeFieldBegin("heard_is_all", ::apache::thrift::protocol::T_BOOL, 10);
    xfer += oprot->writeBool(this->heard_is_all);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.store_era) {
    xfer += oprot->writeFieldBegin("store_era", ::apache::thrift::protocol::T_I64, 11);
    xfer += oprot->writeI64(this->store_era);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(heartbeat &a, heartbeat &b) {
  using ::std::swap;
  swap(a.sender, b.sender);
  swap(a.sequence, b.sequence);
  swap(a.leaving, b.leaving);
  swap(a.bundle, b.bundle);
  swap(a.reach, b.reach);
  swap(a.pools, b.pools);
  swap(a.demands, b.demands);
  swap(a.heard, b.heard);
  swap(a.lost, b.lost);
  swap(a.heard_is_all, b.heard_is_all);
  swap(a.store_era, b.store_era);
  swap(a.__isset, b.__isset);
}

heartbeat::heartbeat(const heartbeat& other48) {
  sender = other48.sender;
  sequence = other48.sequence;
  leaving = other48.leaving;
  bundle = other48.bundle;
  reach = other48.reach;
  pools = other48.pools;
  demands = other48.demands;
  heard = other48.heard;
  lost = other48.lost;
  heard_is_all = other48.heard_is_all;
  store_era = other48.store_era;
  __isset = other48.__isset;
}
heartbeat::heartbeat(heartbeat&& other49) noexcept {
  sender = std::move(other49.sender);
  sequence = other49.sequence;
  leaving = other49.leaving;
  bundle = std::move(other49.bundle);
  reach = std::move(other49.reach);
  pools = std::move(other49.pools);
  demands = std::move(other49.demands);
  heard = std::move(other49.heard);
  lost = std::move(other49.lost);
  heard_is_all = other49.heard_is_all;
  store_era = other49.store_era;
  __isset = other49.__isset;
}
heartbeat& heartbeat::operator=(const heartbeat& other50) {
  sender = other50.sender;
  sequence = other50.sequence;
  leaving = other50.leaving;
  bundle = other50.bundle;
  reach = other50.reach;
  pools = other50.pools;
  demands = other50.demands;
  heard = other50.heard;
  lost = other50.lost;
  heard_is_all = other50.heard_is_all;
  store_era = other50.store_era;
  __isset = other50.__isset;
  return *this;
}
heartbeat& heartbeat::operator=(heartbeat&& other51) noexcept {
  sender = std::move(other51.sender);
  sequence = other51.sequence;
  leaving = other51.leaving;
  bundle = std::move(other51.bundle);
  reach = std::move(other51.reach);
  pools = std::move(other51.pools);
  demands = std::move(other51.demands);
  heard = std::move(other51.heard);
  lost = std::move(other51.lost);
  heard_is_all = other51.heard_is_all;
  store_era = other51.store_era;
  __isset = other51.__isset;
  return *this;
}
void heartbeat::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "heartbeat(";
  out << "sender=" << to_string(sender);
  out << ", " << "sequence=" << to_string(sequence);
  out << ", " << "leaving=" << to_string(leaving);
  out << ", " << "bundle=" << to_string(bundle);
  out << ", " << "reach="; (__isset.reach ? (out << to_string(reach)) : (out << "<null>"));
  out << ", " << "pools="; (__isset.pools ? (out << to_string(pools)) : (out << "<null>"));
  out << ", " << "demands="; (__isset.demands ? (out << to_string(demands)) : (out << "<null>"));
  out << ", " << "heard="; (__isset.heard ? (out << to_string(heard)) : (out << "<null>"));
  out << ", " << "lost="; (__isset.lost ? (out << to_string(lost)) : (out << "<null>"));
  out << ", " << "heard_is_all="; (__isset.heard_is_all ? (out << to_string(heard_is_all)) : (out << "<null>"));
  out << ", " << "store_era="; (__isset.store_era ? (out << to_string(store_era)) : (out << "<null>"));
  out << ")";
}


bundle_request::~bundle_request() noexcept {
}


void bundle_request::__set_have(const version& val) {
  this->have = val;
}
std::ostream& operator<<(std::ostream& out, const bundle_request& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t bundle_request::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->have.read(iprot);
          this->__isset.have = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t bundle_request::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("bundle_request");

  xfer += oprot->writeFieldBegin("have", ::apache::thrift::protocol::T_STRUCT, 1);
  xfer += this->have.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(bundle_request &a, bundle_request &b) {
  using ::std::swap;
  swap(a.have, b.have);
  swap(a.__isset, b.__isset);
}

bundle_request::bundle_request(const bundle_request& other52) noexcept {
  have = other52.have;
  __isset = other52.__isset;
}
bundle_request::bundle_request(bundle_request&& other53) noexcept {
  have = std::move(other53.have);
  __isset = other53.__isset;
}
bundle_request& bundle_request::operator=(const bundle_request& other54) noexcept {
  have = other54.have;
  __isset = other54.__isset;
  return *this;
}
bundle_request& bundle_request::operator=(bundle_request&& other55) noexcept {
  have = std::move(other55.have);
  __isset = other55.__isset;
  return *this;
}
void bundle_request::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "bundle_request(";
  out << "have=" << to_string(have);
  out << ")";
}


bundle_push::~bundle_push() noexcept {
}


void bundle_push::__set_bundle(const version& val) {
  this->bundle = val;
}

void bundle_push::__set_signed_bundle(const std::string& val) {
  this->signed_bundle = val;
}
std::ostream& operator<<(std::ostream& out, const bundle_push& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t bundle_push::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->bundle.read(iprot);
          this->__isset.bundle = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readBinary(this->signed_bundle);
          this->__isset.signed_bundle = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t bundle_push::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("bundle_push");

  xfer += oprot->writeFieldBegin("bundle", ::apache::thrift::protocol::T_STRUCT, 1);
  xfer += this->bundle.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("signed_bundle", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeBinary(this->signed_bundle);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(bundle_push &a, bundle_push &b) {
  using ::std::swap;
  swap(a.bundle, b.bundle);
  swap(a.signed_bundle, b.signed_bundle);
  swap(a.__isset, b.__isset);
}

bundle_push::bundle_push(const bundle_push& other56) {
  bundle = other56.bundle;
  signed_bundle = other56.signed_bundle;
  __isset = other56.__isset;
}
bundle_push::bundle_push(bundle_push&& other57) noexcept {
  bundle = std::move(other57.bundle);
  signed_bundle = std::move(other57.signed_bundle);
  __isset = other57.__isset;
}
bundle_push& bundle_push::operator=(const bundle_push& other58) {
  bundle = other58.bundle;
  signed_bundle = other58.signed_bundle;
  __isset = other58.__isset;
  return *this;
}
bundle_push& bundle_push::operator=(bundle_push&& other59) noexcept {
  bundle = std::move(other59.bundle);
  signed_bundle = std::move(other59.signed_bundle);
  __isset = other59.__isset;
  return *this;
}
void bundle_push::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "bundle_push(";
  out << "bundle=" << to_string(bundle);
  out << ", " << "signed_bundle=" << to_string(signed_bundle);
  out << ")";
}


slot_request::~slot_request() noexcept {
}


void slot_request::__set_request(const std::string& val) {
  this->request = val;
}

void slot_request::__set_request_class(const std::string& val) {
  this->request_class = val;
}

void slot_request::__set_account(const std::string& val) {
  this->account = val;
}

void slot_request::__set_pool(const std::string& val) {
  this->pool = val;
}

void slot_request::__set_prompt_tokens(const int32_t val) {
  this->prompt_tokens = val;
}

void slot_request::__set_maximum_tokens(const int32_t val) {
  this->maximum_tokens = val;
}

void slot_request::__set_prefix_hash(const int64_t val) {
  this->prefix_hash = val;
}

void slot_request::__set_first_token_due_ms(const int64_t val) {
  this->first_token_due_ms = val;
}

void slot_request::__set_answer_due_ms(const int64_t val) {
  this->answer_due_ms = val;
}

void slot_request::__set_excluded(const std::vector<std::string> & val) {
  this->excluded = val;
}
std::ostream& operator<<(std::ostream& out, const slot_request& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_request::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request_class);
          this->__isset.request_class = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->account);
          this->__isset.account = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->prompt_tokens);
          this->__isset.prompt_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->maximum_tokens);
          this->__isset.maximum_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 7:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->prefix_hash);
          this->__isset.prefix_hash = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 8:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->first_token_due_ms);
          this->__isset.first_token_due_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 9:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->answer_due_ms);
          this->__isset.answer_due_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 10:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->excluded.clear();
            uint32_t _size60;
            ::apache::thrift::protocol::TType _etype63;
            xfer += iprot->readListBegin(_etype63, _size60);
            this->excluded.resize(_size60);
            uint32_t _i64;
            for (_i64 = 0; _i64 < _size60; ++_i64)
            {
              xfer += iprot->readString(this->excluded[_i64]);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.excluded = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_request::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_request");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("request_class", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->request_class);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("account", ::apache::thrift::protocol::T_STRING, 3);
  xfer += oprot->writeString(this->account);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_STRING, 4);
  xfer += oprot->writeString(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("prompt_tokens", ::apache::thrift::protocol::T_I32, 5);
  xfer += oprot->writeI32(this->prompt_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("maximum_tokens", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->maximum_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("prefix_hash", ::apache::thrift::protocol::T_I64, 7);
  xfer += oprot->writeI64(this->prefix_hash);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("first_token_due_ms", ::apache::thrift::protocol::T_I64, 8);
  xfer += oprot->writeI64(this->first_token_due_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("answer_due_ms", ::apache::thrift::protocol::T_I64, 9);
  xfer += oprot->writeI64(this->answer_due_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("excluded", ::apache::thrift::protocol::T_LIST, 10);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRING, static_cast<uint32_t>(this->excluded.size()));
    std::vector<std::string> ::const_iterator _iter65;
    for (_iter65 = this->excluded.begin(); _iter65 != this->excluded.end(); ++_iter65)
    {
      xfer += oprot->writeString((*_iter65));
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_request &a, slot_request &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.request_class, b.request_class);
  swap(a.account, b.account);
  swap(a.pool, b.pool);
  swap(a.prompt_tokens, b.prompt_tokens);
  swap(a.maximum_tokens, b.maximum_tokens);
  swap(a.prefix_hash, b.prefix_hash);
  swap(a.first_token_due_ms, b.first_token_due_ms);
  swap(a.answer_due_ms, b.answer_due_ms);
  swap(a.excluded, b.excluded);
  swap(a.__isset, b.__isset);
}

slot_request::slot_request(const slot_request& other66) {
  request = other66.request;
  request_class = other66.request_class;
  account = other66.account;
  pool = other66.pool;
  prompt_tokens = other66.prompt_tokens;
  maximum_tokens = other66.maximum_tokens;
  prefix_hash = other66.prefix_hash;
  first_token_due_ms = other66.first_token_due_ms;
  answer_due_ms = other66.answer_due_ms;
  excluded = other66.excluded;
  __isset = other66.__isset;
}
slot_request::slot_request(slot_request&& other67) noexcept {
  request = std::move(other67.request);
  request_class = std::move(other67.request_class);
  account = std::move(other67.account);
  pool = std::move(other67.pool);
  prompt_tokens = other67.prompt_tokens;
  maximum_tokens = other67.maximum_tokens;
  prefix_hash = other67.prefix_hash;
  first_token_due_ms = other67.first_token_due_ms;
  answer_due_ms = other67.answer_due_ms;
  excluded = std::move(other67.excluded);
  __isset = other67.__isset;
}
slot_request& slot_request::operator=(const slot_request& other68) {
  request = other68.request;
  request_class = other68.request_class;
  account = other68.account;
  pool = other68.pool;
  prompt_tokens = other68.prompt_tokens;
  maximum_tokens = other68.maximum_tokens;
  prefix_hash = other68.prefix_hash;
  first_token_due_ms = other68.first_token_due_ms;
  answer_due_ms = other68.answer_due_ms;
  excluded = other68.excluded;
  __isset = other68.__isset;
  return *this;
}
slot_request& slot_request::operator=(slot_request&& other69) noexcept {
  request = std::move(other69.request);
  request_class = std::move(other69.request_class);
  account = std::move(other69.account);
  pool = std::move(other69.pool);
  prompt_tokens = other69.prompt_tokens;
  maximum_tokens = other69.maximum_tokens;
  prefix_hash = other69.prefix_hash;
  first_token_due_ms = other69.first_token_due_ms;
  answer_due_ms = other69.answer_due_ms;
  excluded = std::move(other69.excluded);
  __isset = other69.__isset;
  return *this;
}
void slot_request::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_request(";
  out << "request=" << to_string(request);
  out << ", " << "request_class=" << to_string(request_class);
  out << ", " << "account=" << to_string(account);
  out << ", " << "pool=" << to_string(pool);
  out << ", " << "prompt_tokens=" << to_string(prompt_tokens);
  out << ", " << "maximum_tokens=" << to_string(maximum_tokens);
  out << ", " << "prefix_hash=" << to_string(prefix_hash);
  out << ", " << "first_token_due_ms=" << to_string(first_token_due_ms);
  out << ", " << "answer_due_ms=" << to_string(answer_due_ms);
  out << ", " << "excluded=" << to_string(excluded);
  out << ")";
}


slot_grant::~slot_grant() noexcept {
}


void slot_grant::__set_request(const std::string& val) {
  this->request = val;
}

void slot_grant::__set_upstream(const std::string& val) {
  this->upstream = val;
}
std::ostream& operator<<(std::ostream& out, const slot_grant& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_grant::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_grant::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_grant");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_grant &a, slot_grant &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.upstream, b.upstream);
  swap(a.__isset, b.__isset);
}

slot_grant::slot_grant(const slot_grant& other70) {
  request = other70.request;
  upstream = other70.upstream;
  __isset = other70.__isset;
}
slot_grant::slot_grant(slot_grant&& other71) noexcept {
  request = std::move(other71.request);
  upstream = std::move(other71.upstream);
  __isset = other71.__isset;
}
slot_grant& slot_grant::operator=(const slot_grant& other72) {
  request = other72.request;
  upstream = other72.upstream;
  __isset = other72.__isset;
  return *this;
}
slot_grant& slot_grant::operator=(slot_grant&& other73) noexcept {
  request = std::move(other73.request);
  upstream = std::move(other73.upstream);
  __isset = other73.__isset;
  return *this;
}
void slot_grant::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_grant(";
  out << "request=" << to_string(request);
  out << ", " << "upstream=" << to_string(upstream);
  out << ")";
}


slot_waiting::~slot_waiting() noexcept {
}


void slot_waiting::__set_request(const std::string& val) {
  this->request = val;
}
std::ostream& operator<<(std::ostream& out, const slot_waiting& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_waiting::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_waiting::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_waiting");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_waiting &a, slot_waiting &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.__isset, b.__isset);
}

slot_waiting::slot_waiting(const slot_waiting& other74) {
  request = other74.request;
  __isset = other74.__isset;
}
slot_waiting::slot_waiting(slot_waiting&& other75) noexcept {
  request = std::move(other75.request);
  __isset = other75.__isset;
}
slot_waiting& slot_waiting::operator=(const slot_waiting& other76) {
  request = other76.request;
  __isset = other76.__isset;
  return *this;
}
slot_waiting& slot_waiting::operator=(slot_waiting&& other77) noexcept {
  request = std::move(other77.request);
  __isset = other77.__isset;
  return *this;
}
void slot_waiting::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_waiting(";
  out << "request=" << to_string(request);
  out << ")";
}


slot_refusal::~slot_refusal() noexcept {
}


void slot_refusal::__set_request(const std::string& val) {
  this->request = val;
}

void slot_refusal::__set_reason(const int32_t val) {
  this->reason = val;
}

void slot_refusal::__set_retry_after_ms(const int64_t val) {
  this->retry_after_ms = val;
}
std::ostream& operator<<(std::ostream& out, const slot_refusal& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_refusal::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->reason);
          this->__isset.reason = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->retry_after_ms);
          this->__isset.retry_after_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_refusal::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_refusal");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("reason", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->reason);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("retry_after_ms", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->retry_after_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_refusal &a, slot_refusal &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.reason, b.reason);
  swap(a.retry_after_ms, b.retry_after_ms);
  swap(a.__isset, b.__isset);
}

slot_refusal::slot_refusal(const slot_refusal& other78) {
  request = other78.request;
  reason = other78.reason;
  retry_after_ms = other78.retry_after_ms;
  __isset = other78.__isset;
}
slot_refusal::slot_refusal(slot_refusal&& other79) noexcept {
  request = std::move(other79.request);
  reason = other79.reason;
  retry_after_ms = other79.retry_after_ms;
  __isset = other79.__isset;
}
slot_refusal& slot_refusal::operator=(const slot_refusal& other80) {
  request = other80.request;
  reason = other80.reason;
  retry_after_ms = other80.retry_after_ms;
  __isset = other80.__isset;
  return *this;
}
slot_refusal& slot_refusal::operator=(slot_refusal&& other81) noexcept {
  request = std::move(other81.request);
  reason = other81.reason;
  retry_after_ms = other81.retry_after_ms;
  __isset = other81.__isset;
  return *this;
}
void slot_refusal::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_refusal(";
  out << "request=" << to_string(request);
  out << ", " << "reason=" << to_string(reason);
  out << ", " << "retry_after_ms=" << to_string(retry_after_ms);
  out << ")";
}


slot_release::~slot_release() noexcept {
}


void slot_release::__set_request(const std::string& val) {
  this->request = val;
}

void slot_release::__set_upstream(const std::string& val) {
  this->upstream = val;
}

void slot_release::__set_succeeded(const bool val) {
  this->succeeded = val;
}

void slot_release::__set_tokens(const int32_t val) {
  this->tokens = val;
}

void slot_release::__set_first_token_ms(const int64_t val) {
  this->first_token_ms = val;
}

void slot_release::__set_total_ms(const int64_t val) {
  this->total_ms = val;
}
std::ostream& operator<<(std::ostream& out, const slot_release& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_release::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->succeeded);
          this->__isset.succeeded = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->tokens);
          this->__isset.tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->first_token_ms);
          this->__isset.first_token_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->total_ms);
          this->__isset.total_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_release::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_release");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("succeeded", ::apache::thrift::protocol::T_BOOL, 3);
  xfer += oprot->writeBool(this->succeeded);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("tokens", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("first_token_ms", ::apache::thrift::protocol::T_I64, 5);
  xfer += oprot->writeI64(this->first_token_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("total_ms", ::apache::thrift::protocol::T_I64, 6);
  xfer += oprot->writeI64(this->total_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_release &a, slot_release &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.upstream, b.upstream);
  swap(a.succeeded, b.succeeded);
  swap(a.tokens, b.tokens);
  swap(a.first_token_ms, b.first_token_ms);
  swap(a.total_ms, b.total_ms);
  swap(a.__isset, b.__isset);
}

slot_release::slot_release(const slot_release& other82) {
  request = other82.request;
  upstream = other82.upstream;
  succeeded = other82.succeeded;
  tokens = other82.tokens;
  first_token_ms = other82.first_token_ms;
  total_ms = other82.total_ms;
  __isset = other82.__isset;
}
slot_release::slot_release(slot_release&& other83) noexcept {
  request = std::move(other83.request);
  upstream = std::move(other83.upstream);
  succeeded = other83.succeeded;
  tokens = other83.tokens;
  first_token_ms = other83.first_token_ms;
  total_ms = other83.total_ms;
  __isset = other83.__isset;
}
slot_release& slot_release::operator=(const slot_release& other84) {
  request = other84.request;
  upstream = other84.upstream;
  succeeded = other84.succeeded;
  tokens = other84.tokens;
  first_token_ms = other84.first_token_ms;
  total_ms = other84.total_ms;
  __isset = other84.__isset;
  return *this;
}
slot_release& slot_release::operator=(slot_release&& other85) noexcept {
  request = std::move(other85.request);
  upstream = std::move(other85.upstream);
  succeeded = other85.succeeded;
  tokens = other85.tokens;
  first_token_ms = other85.first_token_ms;
  total_ms = other85.total_ms;
  __isset = other85.__isset;
  return *this;
}
void slot_release::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_release(";
  out << "request=" << to_string(request);
  out << ", " << "upstream=" << to_string(upstream);
  out << ", " << "succeeded=" << to_string(succeeded);
  out << ", " << "tokens=" << to_string(tokens);
  out << ", " << "first_token_ms=" << to_string(first_token_ms);
  out << ", " << "total_ms=" << to_string(total_ms);
  out << ")";
}


slot_holding::~slot_holding() noexcept {
}


void slot_holding::__set_request(const slot_request& val) {
  this->request = val;
}

void slot_holding::__set_upstream(const std::string& val) {
  this->upstream = val;
}
std::ostream& operator<<(std::ostream& out, const slot_holding& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_holding::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->request.read(iprot);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_holding::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_holding");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRUCT, 1);
  xfer += this->request.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_holding &a, slot_holding &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.upstream, b.upstream);
  swap(a.__isset, b.__isset);
}

slot_holding::slot_holding(const slot_holding& other86) {
  request = other86.request;
  upstream = other86.upstream;
  __isset = other86.__isset;
}
slot_holding::slot_holding(slot_holding&& other87) noexcept {
  request = std::move(other87.request);
  upstream = std::move(other87.upstream);
  __isset = other87.__isset;
}
slot_holding& slot_holding::operator=(const slot_holding& other88) {
  request = other88.request;
  upstream = other88.upstream;
  __isset = other88.__isset;
  return *this;
}
slot_holding& slot_holding::operator=(slot_holding&& other89) noexcept {
  request = std::move(other89.request);
  upstream = std::move(other89.upstream);
  __isset = other89.__isset;
  return *this;
}
void slot_holding::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_holding(";
  out << "request=" << to_string(request);
  out << ", " << "upstream=" << to_string(upstream);
  out << ")";
}


slot_pause::~slot_pause() noexcept {
}


void slot_pause::__set_request(const std::string& val) {
  this->request = val;
}

void slot_pause::__set_resume(const bool val) {
  this->resume = val;
}
std::ostream& operator<<(std::ostream& out, const slot_pause& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t slot_pause::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->resume);
          this->__isset.resume = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t slot_pause::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("slot_pause");

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("resume", ::apache::thrift::protocol::T_BOOL, 2);
  xfer += oprot->writeBool(this->resume);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(slot_pause &a, slot_pause &b) {
  using ::std::swap;
  swap(a.request, b.request);
  swap(a.resume, b.resume);
  swap(a.__isset, b.__isset);
}

slot_pause::slot_pause(const slot_pause& other90) {
  request = other90.request;
  resume = other90.resume;
  __isset = other90.__isset;
}
slot_pause::slot_pause(slot_pause&& other91) noexcept {
  request = std::move(other91.request);
  resume = other91.resume;
  __isset = other91.__isset;
}
slot_pause& slot_pause::operator=(const slot_pause& other92) {
  request = other92.request;
  resume = other92.resume;
  __isset = other92.__isset;
  return *this;
}
slot_pause& slot_pause::operator=(slot_pause&& other93) noexcept {
  request = std::move(other93.request);
  resume = other93.resume;
  __isset = other93.__isset;
  return *this;
}
void slot_pause::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "slot_pause(";
  out << "request=" << to_string(request);
  out << ", " << "resume=" << to_string(resume);
  out << ")";
}


claim_request::~claim_request() noexcept {
}


void claim_request::__set_key(const std::string& val) {
  this->key = val;
}

void claim_request::__set_claimant(const process& val) {
  this->claimant = val;
}

void claim_request::__set_request(const std::string& val) {
  this->request = val;
}

void claim_request::__set_released(const std::string& val) {
  this->released = val;
__isset.released = true;
}

void claim_request::__set_first_attempt(const bool val) {
  this->first_attempt = val;
__isset.first_attempt = true;
}
std::ostream& operator<<(std::ostream& out, const claim_request& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t claim_request::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->key);
          this->__isset.key = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->claimant.read(iprot);
          this->__isset.claimant = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->released);
          this->__isset.released = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->first_attempt);
          this->__isset.first_attempt = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t claim_request::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("claim_request");

  xfer += oprot->writeFieldBegin("key", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->key);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("claimant", ::apache::thrift::protocol::T_STRUCT, 2);
  xfer += this->claimant.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 3);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  if (this->__isset.released) {
    xfer += oprot->writeFieldBegin("released", ::apache::thrift::protocol::T_STRING, 4);
    xfer += oprot->writeString(this->released);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.first_attempt) {
    xfer += oprot->writeFieldBegin("first_attempt", ::apache::thrift::protocol::T_BOOL, 5);
    xfer += oprot->writeBool(this->first_attempt);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(claim_request &a, claim_request &b) {
  using ::std::swap;
  swap(a.key, b.key);
  swap(a.claimant, b.claimant);
  swap(a.request, b.request);
  swap(a.released, b.released);
  swap(a.first_attempt, b.first_attempt);
  swap(a.__isset, b.__isset);
}

claim_request::claim_request(const claim_request& other94) {
  key = other94.key;
  claimant = other94.claimant;
  request = other94.request;
  released = other94.released;
  first_attempt = other94.first_attempt;
  __isset = other94.__isset;
}
claim_request::claim_request(claim_request&& other95) noexcept {
  key = std::move(other95.key);
  claimant = std::move(other95.claimant);
  request = std::move(other95.request);
  released = std::move(other95.released);
  first_attempt = other95.first_attempt;
  __isset = other95.__isset;
}
claim_request& claim_request::operator=(const claim_request& other96) {
  key = other96.key;
  claimant = other96.claimant;
  request = other96.request;
  released = other96.released;
  first_attempt = other96.first_attempt;
  __isset = other96.__isset;
  return *this;
}
claim_request& claim_request::operator=(claim_request&& other97) noexcept {
  key = std::move(other97.key);
  claimant = std::move(other97.claimant);
  request = std::move(other97.request);
  released = std::move(other97.released);
  first_attempt = other97.first_attempt;
  __isset = other97.__isset;
  return *this;
}
void claim_request::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "claim_request(";
  out << "key=" << to_string(key);
  out << ", " << "claimant=" << to_string(claimant);
  out << ", " << "request=" << to_string(request);
  out << ", " << "released="; (__isset.released ? (out << to_string(released)) : (out << "<null>"));
  out << ", " << "first_attempt="; (__isset.first_attempt ? (out << to_string(first_attempt)) : (out << "<null>"));
  out << ")";
}


claim_answer::~claim_answer() noexcept {
}


void claim_answer::__set_key(const std::string& val) {
  this->key = val;
}

void claim_answer::__set_request(const std::string& val) {
  this->request = val;
}

void claim_answer::__set_verdict(const int32_t val) {
  this->verdict = val;
}

void claim_answer::__set_holder(const process& val) {
  this->holder = val;
}

void claim_answer::__set_outcome(const int32_t val) {
  this->outcome = val;
}

void claim_answer::__set_held_request(const std::string& val) {
  this->held_request = val;
}
std::ostream& operator<<(std::ostream& out, const claim_answer& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t claim_answer::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->key);
          this->__isset.key = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->verdict);
          this->__isset.verdict = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->holder.read(iprot);
          this->__isset.holder = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->outcome);
          this->__isset.outcome = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->held_request);
          this->__isset.held_request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t claim_answer::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("claim_answer");

  xfer += oprot->writeFieldBegin("key", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->key);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("verdict", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->verdict);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("holder", ::apache::thrift::protocol::T_STRUCT, 4);
  xfer += this->holder.write(oprot);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("outcome", ::apache::thrift::protocol::T_I32, 5);
  xfer += oprot->writeI32(this->outcome);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("held_request", ::apache::thrift::protocol::T_STRING, 6);
  xfer += oprot->writeString(this->held_request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(claim_answer &a, claim_answer &b) {
  using ::std::swap;
  swap(a.key, b.key);
  swap(a.request, b.request);
  swap(a.verdict, b.verdict);
  swap(a.holder, b.holder);
  swap(a.outcome, b.outcome);
  swap(a.held_request, b.held_request);
  swap(a.__isset, b.__isset);
}

claim_answer::claim_answer(const claim_answer& other98) {
  key = other98.key;
  request = other98.request;
  verdict = other98.verdict;
  holder = other98.holder;
  outcome = other98.outcome;
  held_request = other98.held_request;
  __isset = other98.__isset;
}
claim_answer::claim_answer(claim_answer&& other99) noexcept {
  key = std::move(other99.key);
  request = std::move(other99.request);
  verdict = other99.verdict;
  holder = std::move(other99.holder);
  outcome = other99.outcome;
  held_request = std::move(other99.held_request);
  __isset = other99.__isset;
}
claim_answer& claim_answer::operator=(const claim_answer& other100) {
  key = other100.key;
  request = other100.request;
  verdict = other100.verdict;
  holder = other100.holder;
  outcome = other100.outcome;
  held_request = other100.held_request;
  __isset = other100.__isset;
  return *this;
}
claim_answer& claim_answer::operator=(claim_answer&& other101) noexcept {
  key = std::move(other101.key);
  request = std::move(other101.request);
  verdict = other101.verdict;
  holder = std::move(other101.holder);
  outcome = other101.outcome;
  held_request = std::move(other101.held_request);
  __isset = other101.__isset;
  return *this;
}
void claim_answer::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "claim_answer(";
  out << "key=" << to_string(key);
  out << ", " << "request=" << to_string(request);
  out << ", " << "verdict=" << to_string(verdict);
  out << ", " << "holder=" << to_string(holder);
  out << ", " << "outcome=" << to_string(outcome);
  out << ", " << "held_request=" << to_string(held_request);
  out << ")";
}


claim_finished::~claim_finished() noexcept {
}


void claim_finished::__set_key(const std::string& val) {
  this->key = val;
}

void claim_finished::__set_request(const std::string& val) {
  this->request = val;
}

void claim_finished::__set_outcome(const int32_t val) {
  this->outcome = val;
}
std::ostream& operator<<(std::ostream& out, const claim_finished& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t claim_finished::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->key);
          this->__isset.key = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->outcome);
          this->__isset.outcome = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t claim_finished::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("claim_finished");

  xfer += oprot->writeFieldBegin("key", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->key);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("outcome", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->outcome);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(claim_finished &a, claim_finished &b) {
  using ::std::swap;
  swap(a.key, b.key);
  swap(a.request, b.request);
  swap(a.outcome, b.outcome);
  swap(a.__isset, b.__isset);
}

claim_finished::claim_finished(const claim_finished& other102) {
  key = other102.key;
  request = other102.request;
  outcome = other102.outcome;
  __isset = other102.__isset;
}
claim_finished::claim_finished(claim_finished&& other103) noexcept {
  key = std::move(other103.key);
  request = std::move(other103.request);
  outcome = other103.outcome;
  __isset = other103.__isset;
}
claim_finished& claim_finished::operator=(const claim_finished& other104) {
  key = other104.key;
  request = other104.request;
  outcome = other104.outcome;
  __isset = other104.__isset;
  return *this;
}
claim_finished& claim_finished::operator=(claim_finished&& other105) noexcept {
  key = std::move(other105.key);
  request = std::move(other105.request);
  outcome = other105.outcome;
  __isset = other105.__isset;
  return *this;
}
void claim_finished::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "claim_finished(";
  out << "key=" << to_string(key);
  out << ", " << "request=" << to_string(request);
  out << ", " << "outcome=" << to_string(outcome);
  out << ")";
}


fate_request::~fate_request() noexcept {
}


void fate_request::__set_key(const std::string& val) {
  this->key = val;
}

void fate_request::__set_request(const std::string& val) {
  this->request = val;
}
std::ostream& operator<<(std::ostream& out, const fate_request& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t fate_request::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->key);
          this->__isset.key = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t fate_request::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("fate_request");

  xfer += oprot->writeFieldBegin("key", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->key);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(fate_request &a, fate_request &b) {
  using ::std::swap;
  swap(a.key, b.key);
  swap(a.request, b.request);
  swap(a.__isset, b.__isset);
}

fate_request::fate_request(const fate_request& other106) {
  key = other106.key;
  request = other106.request;
  __isset = other106.__isset;
}
fate_request::fate_request(fate_request&& other107) noexcept {
  key = std::move(other107.key);
  request = std::move(other107.request);
  __isset = other107.__isset;
}
fate_request& fate_request::operator=(const fate_request& other108) {
  key = other108.key;
  request = other108.request;
  __isset = other108.__isset;
  return *this;
}
fate_request& fate_request::operator=(fate_request&& other109) noexcept {
  key = std::move(other109.key);
  request = std::move(other109.request);
  __isset = other109.__isset;
  return *this;
}
void fate_request::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "fate_request(";
  out << "key=" << to_string(key);
  out << ", " << "request=" << to_string(request);
  out << ")";
}


fate_answer::~fate_answer() noexcept {
}


void fate_answer::__set_key(const std::string& val) {
  this->key = val;
}

void fate_answer::__set_request(const std::string& val) {
  this->request = val;
}

void fate_answer::__set_outcome(const int32_t val) {
  this->outcome = val;
}
std::ostream& operator<<(std::ostream& out, const fate_answer& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t fate_answer::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->key);
          this->__isset.key = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->request);
          this->__isset.request = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->outcome);
          this->__isset.outcome = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t fate_answer::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("fate_answer");

  xfer += oprot->writeFieldBegin("key", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->key);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("request", ::apache::thrift::protocol::T_STRING, 2);
  xfer += oprot->writeString(this->request);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("outcome", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->outcome);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(fate_answer &a, fate_answer &b) {
  using ::std::swap;
  swap(a.key, b.key);
  swap(a.request, b.request);
  swap(a.outcome, b.outcome);
  swap(a.__isset, b.__isset);
}

fate_answer::fate_answer(const fate_answer& other110) {
  key = other110.key;
  request = other110.request;
  outcome = other110.outcome;
  __isset = other110.__isset;
}
fate_answer::fate_answer(fate_answer&& other111) noexcept {
  key = std::move(other111.key);
  request = std::move(other111.request);
  outcome = other111.outcome;
  __isset = other111.__isset;
}
fate_answer& fate_answer::operator=(const fate_answer& other112) {
  key = other112.key;
  request = other112.request;
  outcome = other112.outcome;
  __isset = other112.__isset;
  return *this;
}
fate_answer& fate_answer::operator=(fate_answer&& other113) noexcept {
  key = std::move(other113.key);
  request = std::move(other113.request);
  outcome = other113.outcome;
  __isset = other113.__isset;
  return *this;
}
void fate_answer::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "fate_answer(";
  out << "key=" << to_string(key);
  out << ", " << "request=" << to_string(request);
  out << ", " << "outcome=" << to_string(outcome);
  out << ")";
}


envelope::~envelope() noexcept {
}


void envelope::__set_heartbeat_value(const heartbeat& val) {
  this->heartbeat_value = val;
__isset.heartbeat_value = true;
}

void envelope::__set_bundle_request_value(const bundle_request& val) {
  this->bundle_request_value = val;
__isset.bundle_request_value = true;
}

void envelope::__set_bundle_push_value(const bundle_push& val) {
  this->bundle_push_value = val;
__isset.bundle_push_value = true;
}

void envelope::__set_slot_request_value(const slot_request& val) {
  this->slot_request_value = val;
__isset.slot_request_value = true;
}

void envelope::__set_slot_grant_value(const slot_grant& val) {
  this->slot_grant_value = val;
__isset.slot_grant_value = true;
}

void envelope::__set_slot_refusal_value(const slot_refusal& val) {
  this->slot_refusal_value = val;
__isset.slot_refusal_value = true;
}

void envelope::__set_slot_release_value(const slot_release& val) {
  this->slot_release_value = val;
__isset.slot_release_value = true;
}

void envelope::__set_slot_holding_value(const slot_holding& val) {
  this->slot_holding_value = val;
__isset.slot_holding_value = true;
}

void envelope::__set_slot_pause_value(const slot_pause& val) {
  this->slot_pause_value = val;
__isset.slot_pause_value = true;
}

void envelope::__set_claim_request_value(const claim_request& val) {
  this->claim_request_value = val;
__isset.claim_request_value = true;
}

void envelope::__set_claim_answer_value(const claim_answer& val) {
  this->claim_answer_value = val;
__isset.claim_answer_value = true;
}

void envelope::__set_fate_request_value(const fate_request& val) {
  this->fate_request_value = val;
__isset.fate_request_value = true;
}

void envelope::__set_fate_answer_value(const fate_answer& val) {
  this->fate_answer_value = val;
__isset.fate_answer_value = true;
}

void envelope::__set_claim_finished_value(const claim_finished& val) {
  this->claim_finished_value = val;
__isset.claim_finished_value = true;
}

void envelope::__set_slot_waiting_value(const slot_waiting& val) {
  this->slot_waiting_value = val;
__isset.slot_waiting_value = true;
}
std::ostream& operator<<(std::ostream& out, const envelope& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t envelope::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->heartbeat_value.read(iprot);
          this->__isset.heartbeat_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->bundle_request_value.read(iprot);
          this->__isset.bundle_request_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->bundle_push_value.read(iprot);
          this->__isset.bundle_push_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_request_value.read(iprot);
          this->__isset.slot_request_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_grant_value.read(iprot);
          this->__isset.slot_grant_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_refusal_value.read(iprot);
          this->__isset.slot_refusal_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 7:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_release_value.read(iprot);
          this->__isset.slot_release_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 8:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_holding_value.read(iprot);
          this->__isset.slot_holding_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 9:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_pause_value.read(iprot);
          this->__isset.slot_pause_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 10:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->claim_request_value.read(iprot);
          this->__isset.claim_request_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 11:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->claim_answer_value.read(iprot);
          this->__isset.claim_answer_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 12:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->fate_request_value.read(iprot);
          this->__isset.fate_request_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 13:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->fate_answer_value.read(iprot);
          this->__isset.fate_answer_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 14:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->claim_finished_value.read(iprot);
          this->__isset.claim_finished_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 15:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->slot_waiting_value.read(iprot);
          this->__isset.slot_waiting_value = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t envelope::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("envelope");

  if (this->__isset.heartbeat_value) {
    xfer += oprot->writeFieldBegin("heartbeat_value", ::apache::thrift::protocol::T_STRUCT, 1);
    xfer += this->heartbeat_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.bundle_request_value) {
    xfer += oprot->writeFieldBegin("bundle_request_value", ::apache::thrift::protocol::T_STRUCT, 2);
    xfer += this->bundle_request_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.bundle_push_value) {
    xfer += oprot->writeFieldBegin("bundle_push_value", ::apache::thrift::protocol::T_STRUCT, 3);
    xfer += this->bundle_push_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_request_value) {
    xfer += oprot->writeFieldBegin("slot_request_value", ::apache::thrift::protocol::T_STRUCT, 4);
    xfer += this->slot_request_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_grant_value) {
    xfer += oprot->writeFieldBegin("slot_grant_value", ::apache::thrift::protocol::T_STRUCT, 5);
    xfer += this->slot_grant_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_refusal_value) {
    xfer += oprot->writeFieldBegin("slot_refusal_value", ::apache::thrift::protocol::T_STRUCT, 6);
    xfer += this->slot_refusal_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_release_value) {
    xfer += oprot->writeFieldBegin("slot_release_value", ::apache::thrift::protocol::T_STRUCT, 7);
    xfer += this->slot_release_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_holding_value) {
    xfer += oprot->writeFieldBegin("slot_holding_value", ::apache::thrift::protocol::T_STRUCT, 8);
    xfer += this->slot_holding_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_pause_value) {
    xfer += oprot->writeFieldBegin("slot_pause_value", ::apache::thrift::protocol::T_STRUCT, 9);
    xfer += this->slot_pause_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.claim_request_value) {
    xfer += oprot->writeFieldBegin("claim_request_value", ::apache::thrift::protocol::T_STRUCT, 10);
    xfer += this->claim_request_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.claim_answer_value) {
    xfer += oprot->writeFieldBegin("claim_answer_value", ::apache::thrift::protocol::T_STRUCT, 11);
    xfer += this->claim_answer_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.fate_request_value) {
    xfer += oprot->writeFieldBegin("fate_request_value", ::apache::thrift::protocol::T_STRUCT, 12);
    xfer += this->fate_request_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.fate_answer_value) {
    xfer += oprot->writeFieldBegin("fate_answer_value", ::apache::thrift::protocol::T_STRUCT, 13);
    xfer += this->fate_answer_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.claim_finished_value) {
    xfer += oprot->writeFieldBegin("claim_finished_value", ::apache::thrift::protocol::T_STRUCT, 14);
    xfer += this->claim_finished_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  if (this->__isset.slot_waiting_value) {
    xfer += oprot->writeFieldBegin("slot_waiting_value", ::apache::thrift::protocol::T_STRUCT, 15);
    xfer += this->slot_waiting_value.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(envelope &a, envelope &b) {
  using ::std::swap;
  swap(a.heartbeat_value, b.heartbeat_value);
  swap(a.bundle_request_value, b.bundle_request_value);
  swap(a.bundle_push_value, b.bundle_push_value);
  swap(a.slot_request_value, b.slot_request_value);
  swap(a.slot_grant_value, b.slot_grant_value);
  swap(a.slot_refusal_value, b.slot_refusal_value);
  swap(a.slot_release_value, b.slot_release_value);
  swap(a.slot_holding_value, b.slot_holding_value);
  swap(a.slot_pause_value, b.slot_pause_value);
  swap(a.claim_request_value, b.claim_request_value);
  swap(a.claim_answer_value, b.claim_answer_value);
  swap(a.fate_request_value, b.fate_request_value);
  swap(a.fate_answer_value, b.fate_answer_value);
  swap(a.claim_finished_value, b.claim_finished_value);
  swap(a.slot_waiting_value, b.slot_waiting_value);
  swap(a.__isset, b.__isset);
}

envelope::envelope(const envelope& other114) {
  heartbeat_value = other114.heartbeat_value;
  bundle_request_value = other114.bundle_request_value;
  bundle_push_value = other114.bundle_push_value;
  slot_request_value = other114.slot_request_value;
  slot_grant_value = other114.slot_grant_value;
  slot_refusal_value = other114.slot_refusal_value;
  slot_release_value = other114.slot_release_value;
  slot_holding_value = other114.slot_holding_value;
  slot_pause_value = other114.slot_pause_value;
  claim_request_value = other114.claim_request_value;
  claim_answer_value = other114.claim_answer_value;
  fate_request_value = other114.fate_request_value;
  fate_answer_value = other114.fate_answer_value;
  claim_finished_value = other114.claim_finished_value;
  slot_waiting_value = other114.slot_waiting_value;
  __isset = other114.__isset;
}
envelope::envelope(envelope&& other115) noexcept {
  heartbeat_value = std::move(other115.heartbeat_value);
  bundle_request_value = std::move(other115.bundle_request_value);
  bundle_push_value = std::move(other115.bundle_push_value);
  slot_request_value = std::move(other115.slot_request_value);
  slot_grant_value = std::move(other115.slot_grant_value);
  slot_refusal_value = std::move(other115.slot_refusal_value);
  slot_release_value = std::move(other115.slot_release_value);
  slot_holding_value = std::move(other115.slot_holding_value);
  slot_pause_value = std::move(other115.slot_pause_value);
  claim_request_value = std::move(other115.claim_request_value);
  claim_answer_value = std::move(other115.claim_answer_value);
  fate_request_value = std::move(other115.fate_request_value);
  fate_answer_value = std::move(other115.fate_answer_value);
  claim_finished_value = std::move(other115.claim_finished_value);
  slot_waiting_value = std::move(other115.slot_waiting_value);
  __isset = other115.__isset;
}
envelope& envelope::operator=(const envelope& other116) {
  heartbeat_value = other116.heartbeat_value;
  bundle_request_value = other116.bundle_request_value;
  bundle_push_value = other116.bundle_push_value;
  slot_request_value = other116.slot_request_value;
  slot_grant_value = other116.slot_grant_value;
  slot_refusal_value = other116.slot_refusal_value;
  slot_release_value = other116.slot_release_value;
  slot_holding_value = other116.slot_holding_value;
  slot_pause_value = other116.slot_pause_value;
  claim_request_value = other116.claim_request_value;
  claim_answer_value = other116.claim_answer_value;
  fate_request_value = other116.fate_request_value;
  fate_answer_value = other116.fate_answer_value;
  claim_finished_value = other116.claim_finished_value;
  slot_waiting_value = other116.slot_waiting_value;
  __isset = other116.__isset;
  return *this;
}
envelope& envelope::operator=(envelope&& other117) noexcept {
  heartbeat_value = std::move(other117.heartbeat_value);
  bundle_request_value = std::move(other117.bundle_request_value);
  bundle_push_value = std::move(other117.bundle_push_value);
  slot_request_value = std::move(other117.slot_request_value);
  slot_grant_value = std::move(other117.slot_grant_value);
  slot_refusal_value = std::move(other117.slot_refusal_value);
  slot_release_value = std::move(other117.slot_release_value);
  slot_holding_value = std::move(other117.slot_holding_value);
  slot_pause_value = std::move(other117.slot_pause_value);
  claim_request_value = std::move(other117.claim_request_value);
  claim_answer_value = std::move(other117.claim_answer_value);
  fate_request_value = std::move(other117.fate_request_value);
  fate_answer_value = std::move(other117.fate_answer_value);
  claim_finished_value = std::move(other117.claim_finished_value);
  slot_waiting_value = std::move(other117.slot_waiting_value);
  __isset = other117.__isset;
  return *this;
}
void envelope::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "envelope(";
  out << "heartbeat_value="; (__isset.heartbeat_value ? (out << to_string(heartbeat_value)) : (out << "<null>"));
  out << ", " << "bundle_request_value="; (__isset.bundle_request_value ? (out << to_string(bundle_request_value)) : (out << "<null>"));
  out << ", " << "bundle_push_value="; (__isset.bundle_push_value ? (out << to_string(bundle_push_value)) : (out << "<null>"));
  out << ", " << "slot_request_value="; (__isset.slot_request_value ? (out << to_string(slot_request_value)) : (out << "<null>"));
  out << ", " << "slot_grant_value="; (__isset.slot_grant_value ? (out << to_string(slot_grant_value)) : (out << "<null>"));
  out << ", " << "slot_refusal_value="; (__isset.slot_refusal_value ? (out << to_string(slot_refusal_value)) : (out << "<null>"));
  out << ", " << "slot_release_value="; (__isset.slot_release_value ? (out << to_string(slot_release_value)) : (out << "<null>"));
  out << ", " << "slot_holding_value="; (__isset.slot_holding_value ? (out << to_string(slot_holding_value)) : (out << "<null>"));
  out << ", " << "slot_pause_value="; (__isset.slot_pause_value ? (out << to_string(slot_pause_value)) : (out << "<null>"));
  out << ", " << "claim_request_value="; (__isset.claim_request_value ? (out << to_string(claim_request_value)) : (out << "<null>"));
  out << ", " << "claim_answer_value="; (__isset.claim_answer_value ? (out << to_string(claim_answer_value)) : (out << "<null>"));
  out << ", " << "fate_request_value="; (__isset.fate_request_value ? (out << to_string(fate_request_value)) : (out << "<null>"));
  out << ", " << "fate_answer_value="; (__isset.fate_answer_value ? (out << to_string(fate_answer_value)) : (out << "<null>"));
  out << ", " << "claim_finished_value="; (__isset.claim_finished_value ? (out << to_string(claim_finished_value)) : (out << "<null>"));
  out << ", " << "slot_waiting_value="; (__isset.slot_waiting_value ? (out << to_string(slot_waiting_value)) : (out << "<null>"));
  out << ")";
}

}}} // namespace
