#include "gossip_types.h"

#include <algorithm>
#include <ostream>

#include <thrift/TToString.h>

namespace sapphirespar { namespace wire { namespace gen {


gossip_load::~gossip_load() noexcept {
}


void gossip_load::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_load::__set_urgent_tokens(const int32_t val) {
  this->urgent_tokens = val;
}

void gossip_load::__set_other_tokens(const int32_t val) {
  this->other_tokens = val;
}

void gossip_load::__set_memory_tokens(const int32_t val) {
  this->memory_tokens = val;
}

void gossip_load::__set_running(const int32_t val) {
  this->running = val;
}

void gossip_load::__set_interactive(const int32_t val) {
  this->interactive = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_load& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_load::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->urgent_tokens);
          this->__isset.urgent_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->other_tokens);
          this->__isset.other_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->memory_tokens);
          this->__isset.memory_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->running);
          this->__isset.running = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->interactive);
          this->__isset.interactive = true;
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

uint32_t gossip_load::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_load");

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("urgent_tokens", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->urgent_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("other_tokens", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->other_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("memory_tokens", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->memory_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("running", ::apache::thrift::protocol::T_I32, 5);
  xfer += oprot->writeI32(this->running);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("interactive", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->interactive);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_load &a, gossip_load &b) {
  using ::std::swap;
  swap(a.upstream, b.upstream);
  swap(a.urgent_tokens, b.urgent_tokens);
  swap(a.other_tokens, b.other_tokens);
  swap(a.memory_tokens, b.memory_tokens);
  swap(a.running, b.running);
  swap(a.interactive, b.interactive);
  swap(a.__isset, b.__isset);
}

gossip_load::gossip_load(const gossip_load& other0) noexcept {
  upstream = other0.upstream;
  urgent_tokens = other0.urgent_tokens;
  other_tokens = other0.other_tokens;
  memory_tokens = other0.memory_tokens;
  running = other0.running;
  interactive = other0.interactive;
  __isset = other0.__isset;
}
gossip_load::gossip_load(gossip_load&& other1) noexcept {
  upstream = other1.upstream;
  urgent_tokens = other1.urgent_tokens;
  other_tokens = other1.other_tokens;
  memory_tokens = other1.memory_tokens;
  running = other1.running;
  interactive = other1.interactive;
  __isset = other1.__isset;
}
gossip_load& gossip_load::operator=(const gossip_load& other2) noexcept {
  upstream = other2.upstream;
  urgent_tokens = other2.urgent_tokens;
  other_tokens = other2.other_tokens;
  memory_tokens = other2.memory_tokens;
  running = other2.running;
  interactive = other2.interactive;
  __isset = other2.__isset;
  return *this;
}
gossip_load& gossip_load::operator=(gossip_load&& other3) noexcept {
  upstream = other3.upstream;
  urgent_tokens = other3.urgent_tokens;
  other_tokens = other3.other_tokens;
  memory_tokens = other3.memory_tokens;
  running = other3.running;
  interactive = other3.interactive;
  __isset = other3.__isset;
  return *this;
}
void gossip_load::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_load(";
  out << "upstream=" << to_string(upstream);
  out << ", " << "urgent_tokens=" << to_string(urgent_tokens);
  out << ", " << "other_tokens=" << to_string(other_tokens);
  out << ", " << "memory_tokens=" << to_string(memory_tokens);
  out << ", " << "running=" << to_string(running);
  out << ", " << "interactive=" << to_string(interactive);
  out << ")";
}


gossip_zone::~gossip_zone() noexcept {
}


void gossip_zone::__set_data_centre(const std::string& val) {
  this->data_centre = val;
}

void gossip_zone::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}

void gossip_zone::__set_loads(const std::vector<gossip_load> & val) {
  this->loads = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_zone& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_zone::read(::apache::thrift::protocol::TProtocol* iprot) {

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
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->loads.clear();
            uint32_t _size4;
            ::apache::thrift::protocol::TType _etype7;
            xfer += iprot->readListBegin(_etype7, _size4);
            this->loads.resize(_size4);
            uint32_t _i8;
            for (_i8 = 0; _i8 < _size4; ++_i8)
            {
              xfer += this->loads[_i8].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.loads = true;
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

uint32_t gossip_zone::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_zone");

  xfer += oprot->writeFieldBegin("data_centre", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->data_centre);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("loads", ::apache::thrift::protocol::T_LIST, 3);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->loads.size()));
    std::vector<gossip_load> ::const_iterator _iter9;
    for (_iter9 = this->loads.begin(); _iter9 != this->loads.end(); ++_iter9)
    {
      xfer += (*_iter9).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_zone &a, gossip_zone &b) {
  using ::std::swap;
  swap(a.data_centre, b.data_centre);
  swap(a.age_ms, b.age_ms);
  swap(a.loads, b.loads);
  swap(a.__isset, b.__isset);
}

gossip_zone::gossip_zone(const gossip_zone& other10) {
  data_centre = other10.data_centre;
  age_ms = other10.age_ms;
  loads = other10.loads;
  __isset = other10.__isset;
}
gossip_zone::gossip_zone(gossip_zone&& other11) noexcept {
  data_centre = std::move(other11.data_centre);
  age_ms = other11.age_ms;
  loads = std::move(other11.loads);
  __isset = other11.__isset;
}
gossip_zone& gossip_zone::operator=(const gossip_zone& other12) {
  data_centre = other12.data_centre;
  age_ms = other12.age_ms;
  loads = other12.loads;
  __isset = other12.__isset;
  return *this;
}
gossip_zone& gossip_zone::operator=(gossip_zone&& other13) noexcept {
  data_centre = std::move(other13.data_centre);
  age_ms = other13.age_ms;
  loads = std::move(other13.loads);
  __isset = other13.__isset;
  return *this;
}
void gossip_zone::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_zone(";
  out << "data_centre=" << to_string(data_centre);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ", " << "loads=" << to_string(loads);
  out << ")";
}


gossip_part_crash::~gossip_part_crash() noexcept {
}


void gossip_part_crash::__set_pool(const std::string& val) {
  this->pool = val;
}

void gossip_part_crash::__set_part(const int64_t val) {
  this->part = val;
}

void gossip_part_crash::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_part_crash::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}

void gossip_part_crash::__set_sent_age_ms(const int32_t val) {
  this->sent_age_ms = val;
__isset.sent_age_ms = true;
}

void gossip_part_crash::__set_fingerprint(const int64_t val) {
  this->fingerprint = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_part_crash& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_part_crash::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readString(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->part);
          this->__isset.part = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->sent_age_ms);
          this->__isset.sent_age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->fingerprint);
          this->__isset.fingerprint = true;
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

uint32_t gossip_part_crash::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_part_crash");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("part", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->part);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  if (this->__isset.sent_age_ms) {
    xfer += oprot->writeFieldBegin("sent_age_ms", ::apache::thrift::protocol::T_I32, 5);
    xfer += oprot->writeI32(this->sent_age_ms);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldBegin("fingerprint", ::apache::thrift::protocol::T_I64, 6);
  xfer += oprot->writeI64(this->fingerprint);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_part_crash &a, gossip_part_crash &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.part, b.part);
  swap(a.upstream, b.upstream);
  swap(a.age_ms, b.age_ms);
  swap(a.sent_age_ms, b.sent_age_ms);
  swap(a.fingerprint, b.fingerprint);
  swap(a.__isset, b.__isset);
}

gossip_part_crash::gossip_part_crash(const gossip_part_crash& other14) {
  pool = other14.pool;
  part = other14.part;
  upstream = other14.upstream;
  age_ms = other14.age_ms;
  sent_age_ms = other14.sent_age_ms;
  fingerprint = other14.fingerprint;
  __isset = other14.__isset;
}
gossip_part_crash::gossip_part_crash(gossip_part_crash&& other15) noexcept {
  pool = std::move(other15.pool);
  part = other15.part;
  upstream = other15.upstream;
  age_ms = other15.age_ms;
  sent_age_ms = other15.sent_age_ms;
  fingerprint = other15.fingerprint;
  __isset = other15.__isset;
}
gossip_part_crash& gossip_part_crash::operator=(const gossip_part_crash& other16) {
  pool = other16.pool;
  part = other16.part;
  upstream = other16.upstream;
  age_ms = other16.age_ms;
  sent_age_ms = other16.sent_age_ms;
  fingerprint = other16.fingerprint;
  __isset = other16.__isset;
  return *this;
}
gossip_part_crash& gossip_part_crash::operator=(gossip_part_crash&& other17) noexcept {
  pool = std::move(other17.pool);
  part = other17.part;
  upstream = other17.upstream;
  age_ms = other17.age_ms;
  sent_age_ms = other17.sent_age_ms;
  fingerprint = other17.fingerprint;
  __isset = other17.__isset;
  return *this;
}
void gossip_part_crash::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_part_crash(";
  out << "pool=" << to_string(pool);
  out << ", " << "part=" << to_string(part);
  out << ", " << "upstream=" << to_string(upstream);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ", " << "sent_age_ms="; (__isset.sent_age_ms ? (out << to_string(sent_age_ms)) : (out << "<null>"));
  out << ", " << "fingerprint=" << to_string(fingerprint);
  out << ")";
}


gossip_upstream_loss::~gossip_upstream_loss() noexcept {
}


void gossip_upstream_loss::__set_pool(const std::string& val) {
  this->pool = val;
}

void gossip_upstream_loss::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_upstream_loss::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_upstream_loss& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_upstream_loss::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readString(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
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

uint32_t gossip_upstream_loss::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_upstream_loss");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_upstream_loss &a, gossip_upstream_loss &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.upstream, b.upstream);
  swap(a.age_ms, b.age_ms);
  swap(a.__isset, b.__isset);
}

gossip_upstream_loss::gossip_upstream_loss(const gossip_upstream_loss& other18) {
  pool = other18.pool;
  upstream = other18.upstream;
  age_ms = other18.age_ms;
  __isset = other18.__isset;
}
gossip_upstream_loss::gossip_upstream_loss(gossip_upstream_loss&& other19) noexcept {
  pool = std::move(other19.pool);
  upstream = other19.upstream;
  age_ms = other19.age_ms;
  __isset = other19.__isset;
}
gossip_upstream_loss& gossip_upstream_loss::operator=(const gossip_upstream_loss& other20) {
  pool = other20.pool;
  upstream = other20.upstream;
  age_ms = other20.age_ms;
  __isset = other20.__isset;
  return *this;
}
gossip_upstream_loss& gossip_upstream_loss::operator=(gossip_upstream_loss&& other21) noexcept {
  pool = std::move(other21.pool);
  upstream = other21.upstream;
  age_ms = other21.age_ms;
  __isset = other21.__isset;
  return *this;
}
void gossip_upstream_loss::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_upstream_loss(";
  out << "pool=" << to_string(pool);
  out << ", " << "upstream=" << to_string(upstream);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ")";
}


gossip_part_survival::~gossip_part_survival() noexcept {
}


void gossip_part_survival::__set_pool(const std::string& val) {
  this->pool = val;
}

void gossip_part_survival::__set_part(const int64_t val) {
  this->part = val;
}

void gossip_part_survival::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_part_survival& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_part_survival::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readString(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->part);
          this->__isset.part = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
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

uint32_t gossip_part_survival::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_part_survival");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("part", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->part);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_part_survival &a, gossip_part_survival &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.part, b.part);
  swap(a.age_ms, b.age_ms);
  swap(a.__isset, b.__isset);
}

gossip_part_survival::gossip_part_survival(const gossip_part_survival& other22) {
  pool = other22.pool;
  part = other22.part;
  age_ms = other22.age_ms;
  __isset = other22.__isset;
}
gossip_part_survival::gossip_part_survival(gossip_part_survival&& other23) noexcept {
  pool = std::move(other23.pool);
  part = other23.part;
  age_ms = other23.age_ms;
  __isset = other23.__isset;
}
gossip_part_survival& gossip_part_survival::operator=(const gossip_part_survival& other24) {
  pool = other24.pool;
  part = other24.part;
  age_ms = other24.age_ms;
  __isset = other24.__isset;
  return *this;
}
gossip_part_survival& gossip_part_survival::operator=(gossip_part_survival&& other25) noexcept {
  pool = std::move(other25.pool);
  part = other25.part;
  age_ms = other25.age_ms;
  __isset = other25.__isset;
  return *this;
}
void gossip_part_survival::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_part_survival(";
  out << "pool=" << to_string(pool);
  out << ", " << "part=" << to_string(part);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ")";
}


gossip_pool_survival::~gossip_pool_survival() noexcept {
}


void gossip_pool_survival::__set_pool(const std::string& val) {
  this->pool = val;
}

void gossip_pool_survival::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_pool_survival& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_pool_survival::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readString(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
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

uint32_t gossip_pool_survival::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_pool_survival");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_pool_survival &a, gossip_pool_survival &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.age_ms, b.age_ms);
  swap(a.__isset, b.__isset);
}

gossip_pool_survival::gossip_pool_survival(const gossip_pool_survival& other26) {
  pool = other26.pool;
  age_ms = other26.age_ms;
  __isset = other26.__isset;
}
gossip_pool_survival::gossip_pool_survival(gossip_pool_survival&& other27) noexcept {
  pool = std::move(other27.pool);
  age_ms = other27.age_ms;
  __isset = other27.__isset;
}
gossip_pool_survival& gossip_pool_survival::operator=(const gossip_pool_survival& other28) {
  pool = other28.pool;
  age_ms = other28.age_ms;
  __isset = other28.__isset;
  return *this;
}
gossip_pool_survival& gossip_pool_survival::operator=(gossip_pool_survival&& other29) noexcept {
  pool = std::move(other29.pool);
  age_ms = other29.age_ms;
  __isset = other29.__isset;
  return *this;
}
void gossip_pool_survival::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_pool_survival(";
  out << "pool=" << to_string(pool);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ")";
}


gossip_upstream_sign::~gossip_upstream_sign() noexcept {
}


void gossip_upstream_sign::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_upstream_sign::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_upstream_sign& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_upstream_sign::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
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

uint32_t gossip_upstream_sign::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_upstream_sign");

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_upstream_sign &a, gossip_upstream_sign &b) {
  using ::std::swap;
  swap(a.upstream, b.upstream);
  swap(a.age_ms, b.age_ms);
  swap(a.__isset, b.__isset);
}

gossip_upstream_sign::gossip_upstream_sign(const gossip_upstream_sign& other30) noexcept {
  upstream = other30.upstream;
  age_ms = other30.age_ms;
  __isset = other30.__isset;
}
gossip_upstream_sign::gossip_upstream_sign(gossip_upstream_sign&& other31) noexcept {
  upstream = other31.upstream;
  age_ms = other31.age_ms;
  __isset = other31.__isset;
}
gossip_upstream_sign& gossip_upstream_sign::operator=(const gossip_upstream_sign& other32) noexcept {
  upstream = other32.upstream;
  age_ms = other32.age_ms;
  __isset = other32.__isset;
  return *this;
}
gossip_upstream_sign& gossip_upstream_sign::operator=(gossip_upstream_sign&& other33) noexcept {
  upstream = other33.upstream;
  age_ms = other33.age_ms;
  __isset = other33.__isset;
  return *this;
}
void gossip_upstream_sign::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_upstream_sign(";
  out << "upstream=" << to_string(upstream);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ")";
}


gossip_quarantine::~gossip_quarantine() noexcept {
}


void gossip_quarantine::__set_pool(const std::string& val) {
  this->pool = val;
}

void gossip_quarantine::__set_part(const int64_t val) {
  this->part = val;
}

void gossip_quarantine::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}

void gossip_quarantine::__set_seen_age_ms(const int32_t val) {
  this->seen_age_ms = val;
}

void gossip_quarantine::__set_trials(const int32_t val) {
  this->trials = val;
}

void gossip_quarantine::__set_trial_age_ms(const int32_t val) {
  this->trial_age_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_quarantine& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_quarantine::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readString(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->part);
          this->__isset.part = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->seen_age_ms);
          this->__isset.seen_age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->trials);
          this->__isset.trials = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->trial_age_ms);
          this->__isset.trial_age_ms = true;
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

uint32_t gossip_quarantine::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_quarantine");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("part", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->part);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("seen_age_ms", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->seen_age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("trials", ::apache::thrift::protocol::T_I32, 5);
  xfer += oprot->writeI32(this->trials);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("trial_age_ms", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->trial_age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_quarantine &a, gossip_quarantine &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.part, b.part);
  swap(a.age_ms, b.age_ms);
  swap(a.seen_age_ms, b.seen_age_ms);
  swap(a.trials, b.trials);
  swap(a.trial_age_ms, b.trial_age_ms);
  swap(a.__isset, b.__isset);
}

gossip_quarantine::gossip_quarantine(const gossip_quarantine& other34) {
  pool = other34.pool;
  part = other34.part;
  age_ms = other34.age_ms;
  seen_age_ms = other34.seen_age_ms;
  trials = other34.trials;
  trial_age_ms = other34.trial_age_ms;
  __isset = other34.__isset;
}
gossip_quarantine::gossip_quarantine(gossip_quarantine&& other35) noexcept {
  pool = std::move(other35.pool);
  part = other35.part;
  age_ms = other35.age_ms;
  seen_age_ms = other35.seen_age_ms;
  trials = other35.trials;
  trial_age_ms = other35.trial_age_ms;
  __isset = other35.__isset;
}
gossip_quarantine& gossip_quarantine::operator=(const gossip_quarantine& other36) {
  pool = other36.pool;
  part = other36.part;
  age_ms = other36.age_ms;
  seen_age_ms = other36.seen_age_ms;
  trials = other36.trials;
  trial_age_ms = other36.trial_age_ms;
  __isset = other36.__isset;
  return *this;
}
gossip_quarantine& gossip_quarantine::operator=(gossip_quarantine&& other37) noexcept {
  pool = std::move(other37.pool);
  part = other37.part;
  age_ms = other37.age_ms;
  seen_age_ms = other37.seen_age_ms;
  trials = other37.trials;
  trial_age_ms = other37.trial_age_ms;
  __isset = other37.__isset;
  return *this;
}
void gossip_quarantine::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_quarantine(";
  out << "pool=" << to_string(pool);
  out << ", " << "part=" << to_string(part);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ", " << "seen_age_ms=" << to_string(seen_age_ms);
  out << ", " << "trials=" << to_string(trials);
  out << ", " << "trial_age_ms=" << to_string(trial_age_ms);
  out << ")";
}


gossip_crash_report::~gossip_crash_report() noexcept {
}


void gossip_crash_report::__set_crashes(const std::vector<gossip_part_crash> & val) {
  this->crashes = val;
}

void gossip_crash_report::__set_losses(const std::vector<gossip_upstream_loss> & val) {
  this->losses = val;
}

void gossip_crash_report::__set_survivals(const std::vector<gossip_part_survival> & val) {
  this->survivals = val;
}

void gossip_crash_report::__set_pool_survivals(const std::vector<gossip_pool_survival> & val) {
  this->pool_survivals = val;
}

void gossip_crash_report::__set_signs(const std::vector<gossip_upstream_sign> & val) {
  this->signs = val;
}

void gossip_crash_report::__set_quarantines(const std::vector<gossip_quarantine> & val) {
  this->quarantines = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_crash_report& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_crash_report::read(::apache::thrift::protocol::TProtocol* iprot) {

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
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->crashes.clear();
            uint32_t _size38;
            ::apache::thrift::protocol::TType _etype41;
            xfer += iprot->readListBegin(_etype41, _size38);
            this->crashes.resize(_size38);
            uint32_t _i42;
            for (_i42 = 0; _i42 < _size38; ++_i42)
            {
              xfer += this->crashes[_i42].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.crashes = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->losses.clear();
            uint32_t _size43;
            ::apache::thrift::protocol::TType _etype46;
            xfer += iprot->readListBegin(_etype46, _size43);
            this->losses.resize(_size43);
            uint32_t _i47;
            for (_i47 = 0; _i47 < _size43; ++_i47)
            {
              xfer += this->losses[_i47].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.losses = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->survivals.clear();
            uint32_t _size48;
            ::apache::thrift::protocol::TType _etype51;
            xfer += iprot->readListBegin(_etype51, _size48);
            this->survivals.resize(_size48);
            uint32_t _i52;
            for (_i52 = 0; _i52 < _size48; ++_i52)
            {
              xfer += this->survivals[_i52].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.survivals = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->pool_survivals.clear();
            uint32_t _size53;
            ::apache::thrift::protocol::TType _etype56;
            xfer += iprot->readListBegin(_etype56, _size53);
            this->pool_survivals.resize(_size53);
            uint32_t _i57;
            for (_i57 = 0; _i57 < _size53; ++_i57)
            {
              xfer += this->pool_survivals[_i57].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.pool_survivals = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->signs.clear();
            uint32_t _size58;
            ::apache::thrift::protocol::TType _etype61;
            xfer += iprot->readListBegin(_etype61, _size58);
            this->signs.resize(_size58);
            uint32_t _i62;
            for (_i62 = 0; _i62 < _size58; ++_i62)
            {
              xfer += this->signs[_i62].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.signs = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->quarantines.clear();
            uint32_t _size63;
            ::apache::thrift::protocol::TType _etype66;
            xfer += iprot->readListBegin(_etype66, _size63);
            this->quarantines.resize(_size63);
            uint32_t _i67;
            for (_i67 = 0; _i67 < _size63; ++_i67)
            {
              xfer += this->quarantines[_i67].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.quarantines = true;
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

uint32_t gossip_crash_report::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_crash_report");

  xfer += oprot->writeFieldBegin("crashes", ::apache::thrift::protocol::T_LIST, 1);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->crashes.size()));
    std::vector<gossip_part_crash> ::const_iterator _iter68;
    for (_iter68 = this->crashes.begin(); _iter68 != this->crashes.end(); ++_iter68)
    {
      xfer += (*_iter68).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("losses", ::apache::thrift::protocol::T_LIST, 2);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->losses.size()));
    std::vector<gossip_upstream_loss> ::const_iterator _iter69;
    for (_iter69 = this->losses.begin(); _iter69 != this->losses.end(); ++_iter69)
    {
      xfer += (*_iter69).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("survivals", ::apache::thrift::protocol::T_LIST, 3);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->survivals.size()));
    std::vector<gossip_part_survival> ::const_iterator _iter70;
    for (_iter70 = this->survivals.begin(); _iter70 != this->survivals.end(); ++_iter70)
    {
      xfer += (*_iter70).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("pool_survivals", ::apache::thrift::protocol::T_LIST, 4);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->pool_survivals.size()));
    std::vector<gossip_pool_survival> ::const_iterator _iter71;
    for (_iter71 = this->pool_survivals.begin(); _iter71 != this->pool_survivals.end(); ++_iter71)
    {
      xfer += (*_iter71).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("signs", ::apache::thrift::protocol::T_LIST, 5);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->signs.size()));
    std::vector<gossip_upstream_sign> ::const_iterator _iter72;
    for (_iter72 = this->signs.begin(); _iter72 != this->signs.end(); ++_iter72)
    {
      xfer += (*_iter72).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("quarantines", ::apache::thrift::protocol::T_LIST, 6);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->quarantines.size()));
    std::vector<gossip_quarantine> ::const_iterator _iter73;
    for (_iter73 = this->quarantines.begin(); _iter73 != this->quarantines.end(); ++_iter73)
    {
      xfer += (*_iter73).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_crash_report &a, gossip_crash_report &b) {
  using ::std::swap;
  swap(a.crashes, b.crashes);
  swap(a.losses, b.losses);
  swap(a.survivals, b.survivals);
  swap(a.pool_survivals, b.pool_survivals);
  swap(a.signs, b.signs);
  swap(a.quarantines, b.quarantines);
  swap(a.__isset, b.__isset);
}

gossip_crash_report::gossip_crash_report(const gossip_crash_report& other74) {
  crashes = other74.crashes;
  losses = other74.losses;
  survivals = other74.survivals;
  pool_survivals = other74.pool_survivals;
  signs = other74.signs;
  quarantines = other74.quarantines;
  __isset = other74.__isset;
}
gossip_crash_report::gossip_crash_report(gossip_crash_report&& other75) noexcept {
  crashes = std::move(other75.crashes);
  losses = std::move(other75.losses);
  survivals = std::move(other75.survivals);
  pool_survivals = std::move(other75.pool_survivals);
  signs = std::move(other75.signs);
  quarantines = std::move(other75.quarantines);
  __isset = other75.__isset;
}
gossip_crash_report& gossip_crash_report::operator=(const gossip_crash_report& other76) {
  crashes = other76.crashes;
  losses = other76.losses;
  survivals = other76.survivals;
  pool_survivals = other76.pool_survivals;
  signs = other76.signs;
  quarantines = other76.quarantines;
  __isset = other76.__isset;
  return *this;
}
gossip_crash_report& gossip_crash_report::operator=(gossip_crash_report&& other77) noexcept {
  crashes = std::move(other77.crashes);
  losses = std::move(other77.losses);
  survivals = std::move(other77.survivals);
  pool_survivals = std::move(other77.pool_survivals);
  signs = std::move(other77.signs);
  quarantines = std::move(other77.quarantines);
  __isset = other77.__isset;
  return *this;
}
void gossip_crash_report::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_crash_report(";
  out << "crashes=" << to_string(crashes);
  out << ", " << "losses=" << to_string(losses);
  out << ", " << "survivals=" << to_string(survivals);
  out << ", " << "pool_survivals=" << to_string(pool_survivals);
  out << ", " << "signs=" << to_string(signs);
  out << ", " << "quarantines=" << to_string(quarantines);
  out << ")";
}


gossip_upstream_rate::~gossip_upstream_rate() noexcept {
}


void gossip_upstream_rate::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_upstream_rate::__set_rate(const int64_t val) {
  this->rate = val;
}

void gossip_upstream_rate::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_upstream_rate& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_upstream_rate::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->rate);
          this->__isset.rate = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
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

uint32_t gossip_upstream_rate::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_upstream_rate");

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("rate", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->rate);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_upstream_rate &a, gossip_upstream_rate &b) {
  using ::std::swap;
  swap(a.upstream, b.upstream);
  swap(a.rate, b.rate);
  swap(a.age_ms, b.age_ms);
  swap(a.__isset, b.__isset);
}

gossip_upstream_rate::gossip_upstream_rate(const gossip_upstream_rate& other78) noexcept {
  upstream = other78.upstream;
  rate = other78.rate;
  age_ms = other78.age_ms;
  __isset = other78.__isset;
}
gossip_upstream_rate::gossip_upstream_rate(gossip_upstream_rate&& other79) noexcept {
  upstream = other79.upstream;
  rate = other79.rate;
  age_ms = other79.age_ms;
  __isset = other79.__isset;
}
gossip_upstream_rate& gossip_upstream_rate::operator=(const gossip_upstream_rate& other80) noexcept {
  upstream = other80.upstream;
  rate = other80.rate;
  age_ms = other80.age_ms;
  __isset = other80.__isset;
  return *this;
}
gossip_upstream_rate& gossip_upstream_rate::operator=(gossip_upstream_rate&& other81) noexcept {
  upstream = other81.upstream;
  rate = other81.rate;
  age_ms = other81.age_ms;
  __isset = other81.__isset;
  return *this;
}
void gossip_upstream_rate::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_upstream_rate(";
  out << "upstream=" << to_string(upstream);
  out << ", " << "rate=" << to_string(rate);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ")";
}


gossip_upstream_pause::~gossip_upstream_pause() noexcept {
}


void gossip_upstream_pause::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_upstream_pause::__set_left_ms(const int32_t val) {
  this->left_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_upstream_pause& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_upstream_pause::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->left_ms);
          this->__isset.left_ms = true;
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

uint32_t gossip_upstream_pause::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_upstream_pause");

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("left_ms", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->left_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_upstream_pause &a, gossip_upstream_pause &b) {
  using ::std::swap;
  swap(a.upstream, b.upstream);
  swap(a.left_ms, b.left_ms);
  swap(a.__isset, b.__isset);
}

gossip_upstream_pause::gossip_upstream_pause(const gossip_upstream_pause& other82) noexcept {
  upstream = other82.upstream;
  left_ms = other82.left_ms;
  __isset = other82.__isset;
}
gossip_upstream_pause::gossip_upstream_pause(gossip_upstream_pause&& other83) noexcept {
  upstream = other83.upstream;
  left_ms = other83.left_ms;
  __isset = other83.__isset;
}
gossip_upstream_pause& gossip_upstream_pause::operator=(const gossip_upstream_pause& other84) noexcept {
  upstream = other84.upstream;
  left_ms = other84.left_ms;
  __isset = other84.__isset;
  return *this;
}
gossip_upstream_pause& gossip_upstream_pause::operator=(gossip_upstream_pause&& other85) noexcept {
  upstream = other85.upstream;
  left_ms = other85.left_ms;
  __isset = other85.__isset;
  return *this;
}
void gossip_upstream_pause::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_upstream_pause(";
  out << "upstream=" << to_string(upstream);
  out << ", " << "left_ms=" << to_string(left_ms);
  out << ")";
}


gossip_rationed_pool::~gossip_rationed_pool() noexcept {
}


void gossip_rationed_pool::__set_pool(const int64_t val) {
  this->pool = val;
}

void gossip_rationed_pool::__set_tolerated(const int64_t val) {
  this->tolerated = val;
}

void gossip_rationed_pool::__set_left_ms(const int32_t val) {
  this->left_ms = val;
}

void gossip_rationed_pool::__set_work_ms(const int32_t val) {
  this->work_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_rationed_pool& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_rationed_pool::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->tolerated);
          this->__isset.tolerated = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->left_ms);
          this->__isset.left_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->work_ms);
          this->__isset.work_ms = true;
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

uint32_t gossip_rationed_pool::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_rationed_pool");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("tolerated", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->tolerated);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("left_ms", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->left_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("work_ms", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->work_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_rationed_pool &a, gossip_rationed_pool &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.tolerated, b.tolerated);
  swap(a.left_ms, b.left_ms);
  swap(a.work_ms, b.work_ms);
  swap(a.__isset, b.__isset);
}

gossip_rationed_pool::gossip_rationed_pool(const gossip_rationed_pool& other86) noexcept {
  pool = other86.pool;
  tolerated = other86.tolerated;
  left_ms = other86.left_ms;
  work_ms = other86.work_ms;
  __isset = other86.__isset;
}
gossip_rationed_pool::gossip_rationed_pool(gossip_rationed_pool&& other87) noexcept {
  pool = other87.pool;
  tolerated = other87.tolerated;
  left_ms = other87.left_ms;
  work_ms = other87.work_ms;
  __isset = other87.__isset;
}
gossip_rationed_pool& gossip_rationed_pool::operator=(const gossip_rationed_pool& other88) noexcept {
  pool = other88.pool;
  tolerated = other88.tolerated;
  left_ms = other88.left_ms;
  work_ms = other88.work_ms;
  __isset = other88.__isset;
  return *this;
}
gossip_rationed_pool& gossip_rationed_pool::operator=(gossip_rationed_pool&& other89) noexcept {
  pool = other89.pool;
  tolerated = other89.tolerated;
  left_ms = other89.left_ms;
  work_ms = other89.work_ms;
  __isset = other89.__isset;
  return *this;
}
void gossip_rationed_pool::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_rationed_pool(";
  out << "pool=" << to_string(pool);
  out << ", " << "tolerated=" << to_string(tolerated);
  out << ", " << "left_ms=" << to_string(left_ms);
  out << ", " << "work_ms=" << to_string(work_ms);
  out << ")";
}


gossip_duties::~gossip_duties() noexcept {
}


void gossip_duties::__set_wall_ms(const int64_t val) {
  this->wall_ms = val;
}

void gossip_duties::__set_token(const int64_t val) {
  this->token = val;
}

void gossip_duties::__set_fixed_window(const int64_t val) {
  this->fixed_window = val;
}

void gossip_duties::__set_refused_reading(const int32_t val) {
  this->refused_reading = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_duties& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_duties::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->wall_ms);
          this->__isset.wall_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->token);
          this->__isset.token = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->fixed_window);
          this->__isset.fixed_window = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->refused_reading);
          this->__isset.refused_reading = true;
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

uint32_t gossip_duties::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_duties");

  xfer += oprot->writeFieldBegin("wall_ms", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->wall_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("token", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->token);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("fixed_window", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->fixed_window);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("refused_reading", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->refused_reading);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_duties &a, gossip_duties &b) {
  using ::std::swap;
  swap(a.wall_ms, b.wall_ms);
  swap(a.token, b.token);
  swap(a.fixed_window, b.fixed_window);
  swap(a.refused_reading, b.refused_reading);
  swap(a.__isset, b.__isset);
}

gossip_duties::gossip_duties(const gossip_duties& other90) noexcept {
  wall_ms = other90.wall_ms;
  token = other90.token;
  fixed_window = other90.fixed_window;
  refused_reading = other90.refused_reading;
  __isset = other90.__isset;
}
gossip_duties::gossip_duties(gossip_duties&& other91) noexcept {
  wall_ms = other91.wall_ms;
  token = other91.token;
  fixed_window = other91.fixed_window;
  refused_reading = other91.refused_reading;
  __isset = other91.__isset;
}
gossip_duties& gossip_duties::operator=(const gossip_duties& other92) noexcept {
  wall_ms = other92.wall_ms;
  token = other92.token;
  fixed_window = other92.fixed_window;
  refused_reading = other92.refused_reading;
  __isset = other92.__isset;
  return *this;
}
gossip_duties& gossip_duties::operator=(gossip_duties&& other93) noexcept {
  wall_ms = other93.wall_ms;
  token = other93.token;
  fixed_window = other93.fixed_window;
  refused_reading = other93.refused_reading;
  __isset = other93.__isset;
  return *this;
}
void gossip_duties::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_duties(";
  out << "wall_ms=" << to_string(wall_ms);
  out << ", " << "token=" << to_string(token);
  out << ", " << "fixed_window=" << to_string(fixed_window);
  out << ", " << "refused_reading=" << to_string(refused_reading);
  out << ")";
}


gossip_engine_pace::~gossip_engine_pace() noexcept {
}


void gossip_engine_pace::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_engine_pace::__set_step_us(const int32_t val) {
  this->step_us = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_engine_pace& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_engine_pace::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->step_us);
          this->__isset.step_us = true;
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

uint32_t gossip_engine_pace::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_engine_pace");

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("step_us", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->step_us);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_engine_pace &a, gossip_engine_pace &b) {
  using ::std::swap;
  swap(a.upstream, b.upstream);
  swap(a.step_us, b.step_us);
  swap(a.__isset, b.__isset);
}

gossip_engine_pace::gossip_engine_pace(const gossip_engine_pace& other94) noexcept {
  upstream = other94.upstream;
  step_us = other94.step_us;
  __isset = other94.__isset;
}
gossip_engine_pace::gossip_engine_pace(gossip_engine_pace&& other95) noexcept {
  upstream = other95.upstream;
  step_us = other95.step_us;
  __isset = other95.__isset;
}
gossip_engine_pace& gossip_engine_pace::operator=(const gossip_engine_pace& other96) noexcept {
  upstream = other96.upstream;
  step_us = other96.step_us;
  __isset = other96.__isset;
  return *this;
}
gossip_engine_pace& gossip_engine_pace::operator=(gossip_engine_pace&& other97) noexcept {
  upstream = other97.upstream;
  step_us = other97.step_us;
  __isset = other97.__isset;
  return *this;
}
void gossip_engine_pace::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_engine_pace(";
  out << "upstream=" << to_string(upstream);
  out << ", " << "step_us=" << to_string(step_us);
  out << ")";
}


gossip_state::~gossip_state() noexcept {
}


void gossip_state::__set_vm(const std::string& val) {
  this->vm = val;
}

void gossip_state::__set_incarnation(const int64_t val) {
  this->incarnation = val;
}

void gossip_state::__set_sequence(const int64_t val) {
  this->sequence = val;
}

void gossip_state::__set_data_centre(const std::string& val) {
  this->data_centre = val;
}

void gossip_state::__set_address(const std::string& val) {
  this->address = val;
}

void gossip_state::__set_caller_port(const int32_t val) {
  this->caller_port = val;
}

void gossip_state::__set_admin_port(const int32_t val) {
  this->admin_port = val;
}

void gossip_state::__set_ready(const bool val) {
  this->ready = val;
}

void gossip_state::__set_leaving(const bool val) {
  this->leaving = val;
}

void gossip_state::__set_loads(const std::vector<gossip_load> & val) {
  this->loads = val;
}

void gossip_state::__set_asks(const bool val) {
  this->asks = val;
}

void gossip_state::__set_answers(const int64_t val) {
  this->answers = val;
}

void gossip_state::__set_routing_age_ms(const int32_t val) {
  this->routing_age_ms = val;
}

void gossip_state::__set_upstreams_age_ms(const int32_t val) {
  this->upstreams_age_ms = val;
}

void gossip_state::__set_upstreams_digest(const int64_t val) {
  this->upstreams_digest = val;
}

void gossip_state::__set_interactive_reading(const int32_t val) {
  this->interactive_reading = val;
}

void gossip_state::__set_bulk_reading(const int32_t val) {
  this->bulk_reading = val;
}

void gossip_state::__set_processor(const int32_t val) {
  this->processor = val;
}

void gossip_state::__set_zones(const std::vector<gossip_zone> & val) {
  this->zones = val;
}

void gossip_state::__set_leaving_upstreams(const std::vector<int64_t> & val) {
  this->leaving_upstreams = val;
}

void gossip_state::__set_store_era(const int64_t val) {
  this->store_era = val;
}

void gossip_state::__set_routing_version(const int64_t val) {
  this->routing_version = val;
}

void gossip_state::__set_crash_report(const gossip_crash_report& val) {
  this->crash_report = val;
__isset.crash_report = true;
}

void gossip_state::__set_upstream_rates(const std::vector<gossip_upstream_rate> & val) {
  this->upstream_rates = val;
}

void gossip_state::__set_request_crash_report(const gossip_crash_report& val) {
  this->request_crash_report = val;
__isset.request_crash_report = true;
}

void gossip_state::__set_cut_off(const bool val) {
  this->cut_off = val;
}

void gossip_state::__set_upstream_pauses(const std::vector<gossip_upstream_pause> & val) {
  this->upstream_pauses = val;
}

void gossip_state::__set_rationed_pools(const std::vector<gossip_rationed_pool> & val) {
  this->rationed_pools = val;
}

void gossip_state::__set_duties(const gossip_duties& val) {
  this->duties = val;
__isset.duties = true;
}

void gossip_state::__set_engine_paces(const std::vector<gossip_engine_pace> & val) {
  this->engine_paces = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_state& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_state::read(::apache::thrift::protocol::TProtocol* iprot) {

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
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->sequence);
          this->__isset.sequence = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->data_centre);
          this->__isset.data_centre = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->address);
          this->__isset.address = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->caller_port);
          this->__isset.caller_port = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 7:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->admin_port);
          this->__isset.admin_port = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 8:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->ready);
          this->__isset.ready = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 9:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->leaving);
          this->__isset.leaving = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 11:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->loads.clear();
            uint32_t _size98;
            ::apache::thrift::protocol::TType _etype101;
            xfer += iprot->readListBegin(_etype101, _size98);
            this->loads.resize(_size98);
            uint32_t _i102;
            for (_i102 = 0; _i102 < _size98; ++_i102)
            {
              xfer += this->loads[_i102].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.loads = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 12:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->asks);
          this->__isset.asks = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 13:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->answers);
          this->__isset.answers = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 14:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->routing_age_ms);
          this->__isset.routing_age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 16:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->upstreams_age_ms);
          this->__isset.upstreams_age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 17:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->upstreams_digest);
          this->__isset.upstreams_digest = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 18:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->interactive_reading);
          this->__isset.interactive_reading = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 19:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->bulk_reading);
          this->__isset.bulk_reading = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 20:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->processor);
          this->__isset.processor = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 21:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->zones.clear();
            uint32_t _size103;
            ::apache::thrift::protocol::TType _etype106;
            xfer += iprot->readListBegin(_etype106, _size103);
            this->zones.resize(_size103);
            uint32_t _i107;
            for (_i107 = 0; _i107 < _size103; ++_i107)
            {
              xfer += this->zones[_i107].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.zones = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 22:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->leaving_upstreams.clear();
            uint32_t _size108;
            ::apache::thrift::protocol::TType _etype111;
            xfer += iprot->readListBegin(_etype111, _size108);
            this->leaving_upstreams.resize(_size108);
            uint32_t _i112;
            for (_i112 = 0; _i112 < _size108; ++_i112)
            {
              xfer += iprot->readI64(this->leaving_upstreams[_i112]);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.leaving_upstreams = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 23:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->store_era);
          this->__isset.store_era = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 24:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->routing_version);
          this->__isset.routing_version = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 25:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->crash_report.read(iprot);
          this->__isset.crash_report = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 26:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->upstream_rates.clear();
            uint32_t _size113;
            ::apache::thrift::protocol::TType _etype116;
            xfer += iprot->readListBegin(_etype116, _size113);
            this->upstream_rates.resize(_size113);
            uint32_t _i117;
            for (_i117 = 0; _i117 < _size113; ++_i117)
            {
              xfer += this->upstream_rates[_i117].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.upstream_rates = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 27:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->request_crash_report.read(iprot);
          this->__isset.request_crash_report = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 28:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->cut_off);
          this->__isset.cut_off = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 29:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->upstream_pauses.clear();
            uint32_t _size118;
            ::apache::thrift::protocol::TType _etype121;
            xfer += iprot->readListBegin(_etype121, _size118);
            this->upstream_pauses.resize(_size118);
            uint32_t _i122;
            for (_i122 = 0; _i122 < _size118; ++_i122)
            {
              xfer += this->upstream_pauses[_i122].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.upstream_pauses = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 30:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->rationed_pools.clear();
            uint32_t _size123;
            ::apache::thrift::protocol::TType _etype126;
            xfer += iprot->readListBegin(_etype126, _size123);
            this->rationed_pools.resize(_size123);
            uint32_t _i127;
            for (_i127 = 0; _i127 < _size123; ++_i127)
            {
              xfer += this->rationed_pools[_i127].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.rationed_pools = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 31:
        if (ftype == ::apache::thrift::protocol::T_STRUCT) {
          xfer += this->duties.read(iprot);
          this->__isset.duties = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 32:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->engine_paces.clear();
            uint32_t _size128;
            ::apache::thrift::protocol::TType _etype131;
            xfer += iprot->readListBegin(_etype131, _size128);
            this->engine_paces.resize(_size128);
            uint32_t _i132;
            for (_i132 = 0; _i132 < _size128; ++_i132)
            {
              xfer += this->engine_paces[_i132].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.engine_paces = true;
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

uint32_t gossip_state::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_state");

  xfer += oprot->writeFieldBegin("vm", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->vm);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("incarnation", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->incarnation);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("sequence", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->sequence);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("data_centre", ::apache::thrift::protocol::T_STRING, 4);
  xfer += oprot->writeString(this->data_centre);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("address", ::apache::thrift::protocol::T_STRING, 5);
  xfer += oprot->writeString(this->address);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("caller_port", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->caller_port);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("admin_port", ::apache::thrift::protocol::T_I32, 7);
  xfer += oprot->writeI32(this->admin_port);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("ready", ::apache::thrift::protocol::T_BOOL, 8);
  xfer += oprot->writeBool(this->ready);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("leaving", ::apache::thrift::protocol::T_BOOL, 9);
  xfer += oprot->writeBool(this->leaving);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("loads", ::apache::thrift::protocol::T_LIST, 11);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->loads.size()));
    std::vector<gossip_load> ::const_iterator _iter133;
    for (_iter133 = this->loads.begin(); _iter133 != this->loads.end(); ++_iter133)
    {
      xfer += (*_iter133).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("asks", ::apache::thrift::protocol::T_BOOL, 12);
  xfer += oprot->writeBool(this->asks);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("answers", ::apache::thrift::protocol::T_I64, 13);
  xfer += oprot->writeI64(this->answers);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("routing_age_ms", ::apache::thrift::protocol::T_I32, 14);
  xfer += oprot->writeI32(this->routing_age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstreams_age_ms", ::apache::thrift::protocol::T_I32, 16);
  xfer += oprot->writeI32(this->upstreams_age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstreams_digest", ::apache::thrift::protocol::T_I64, 17);
  xfer += oprot->writeI64(this->upstreams_digest);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("interactive_reading", ::apache::thrift::protocol::T_I32, 18);
  xfer += oprot->writeI32(this->interactive_reading);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("bulk_reading", ::apache::thrift::protocol::T_I32, 19);
  xfer += oprot->writeI32(this->bulk_reading);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("processor", ::apache::thrift::protocol::T_I32, 20);
  xfer += oprot->writeI32(this->processor);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("zones", ::apache::thrift::protocol::T_LIST, 21);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->zones.size()));
    std::vector<gossip_zone> ::const_iterator _iter134;
    for (_iter134 = this->zones.begin(); _iter134 != this->zones.end(); ++_iter134)
    {
      xfer += (*_iter134).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("leaving_upstreams", ::apache::thrift::protocol::T_LIST, 22);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_I64, static_cast<uint32_t>(this->leaving_upstreams.size()));
    std::vector<int64_t> ::const_iterator _iter135;
    for (_iter135 = this->leaving_upstreams.begin(); _iter135 != this->leaving_upstreams.end(); ++_iter135)
    {
      xfer += oprot->writeI64((*_iter135));
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("store_era", ::apache::thrift::protocol::T_I64, 23);
  xfer += oprot->writeI64(this->store_era);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("routing_version", ::apache::thrift::protocol::T_I64, 24);
  xfer += oprot->writeI64(this->routing_version);
  xfer += oprot->writeFieldEnd();

  if (this->__isset.crash_report) {
    xfer += oprot->writeFieldBegin("crash_report", ::apache::thrift::protocol::T_STRUCT, 25);
    xfer += this->crash_report.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldBegin("upstream_rates", ::apache::thrift::protocol::T_LIST, 26);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->upstream_rates.size()));
    std::vector<gossip_upstream_rate> ::const_iterator _iter136;
    for (_iter136 = this->upstream_rates.begin(); _iter136 != this->upstream_rates.end(); ++_iter136)
    {
      xfer += (*_iter136).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  if (this->__isset.request_crash_report) {
    xfer += oprot->writeFieldBegin("request_crash_report", ::apache::thrift::protocol::T_STRUCT, 27);
    xfer += this->request_crash_report.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldBegin("cut_off", ::apache::thrift::protocol::T_BOOL, 28);
  xfer += oprot->writeBool(this->cut_off);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstream_pauses", ::apache::thrift::protocol::T_LIST, 29);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->upstream_pauses.size()));
    std::vector<gossip_upstream_pause> ::const_iterator _iter137;
    for (_iter137 = this->upstream_pauses.begin(); _iter137 != this->upstream_pauses.end(); ++_iter137)
    {
      xfer += (*_iter137).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("rationed_pools", ::apache::thrift::protocol::T_LIST, 30);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->rationed_pools.size()));
    std::vector<gossip_rationed_pool> ::const_iterator _iter138;
    for (_iter138 = this->rationed_pools.begin(); _iter138 != this->rationed_pools.end(); ++_iter138)
    {
      xfer += (*_iter138).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  if (this->__isset.duties) {
    xfer += oprot->writeFieldBegin("duties", ::apache::thrift::protocol::T_STRUCT, 31);
    xfer += this->duties.write(oprot);
    xfer += oprot->writeFieldEnd();
  }
  xfer += oprot->writeFieldBegin("engine_paces", ::apache::thrift::protocol::T_LIST, 32);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->engine_paces.size()));
    std::vector<gossip_engine_pace> ::const_iterator _iter139;
    for (_iter139 = this->engine_paces.begin(); _iter139 != this->engine_paces.end(); ++_iter139)
    {
      xfer += (*_iter139).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_state &a, gossip_state &b) {
  using ::std::swap;
  swap(a.vm, b.vm);
  swap(a.incarnation, b.incarnation);
  swap(a.sequence, b.sequence);
  swap(a.data_centre, b.data_centre);
  swap(a.address, b.address);
  swap(a.caller_port, b.caller_port);
  swap(a.admin_port, b.admin_port);
  swap(a.ready, b.ready);
  swap(a.leaving, b.leaving);
  swap(a.loads, b.loads);
  swap(a.asks, b.asks);
  swap(a.answers, b.answers);
  swap(a.routing_age_ms, b.routing_age_ms);
  swap(a.upstreams_age_ms, b.upstreams_age_ms);
  swap(a.upstreams_digest, b.upstreams_digest);
  swap(a.interactive_reading, b.interactive_reading);
  swap(a.bulk_reading, b.bulk_reading);
  swap(a.processor, b.processor);
  swap(a.zones, b.zones);
  swap(a.leaving_upstreams, b.leaving_upstreams);
  swap(a.store_era, b.store_era);
  swap(a.routing_version, b.routing_version);
  swap(a.crash_report, b.crash_report);
  swap(a.upstream_rates, b.upstream_rates);
  swap(a.request_crash_report, b.request_crash_report);
  swap(a.cut_off, b.cut_off);
  swap(a.upstream_pauses, b.upstream_pauses);
  swap(a.rationed_pools, b.rationed_pools);
  swap(a.duties, b.duties);
  swap(a.engine_paces, b.engine_paces);
  swap(a.__isset, b.__isset);
}

gossip_state::gossip_state(const gossip_state& other140) {
  vm = other140.vm;
  incarnation = other140.incarnation;
  sequence = other140.sequence;
  data_centre = other140.data_centre;
  address = other140.address;
  caller_port = other140.caller_port;
  admin_port = other140.admin_port;
  ready = other140.ready;
  leaving = other140.leaving;
  loads = other140.loads;
  asks = other140.asks;
  answers = other140.answers;
  routing_age_ms = other140.routing_age_ms;
  upstreams_age_ms = other140.upstreams_age_ms;
  upstreams_digest = other140.upstreams_digest;
  interactive_reading = other140.interactive_reading;
  bulk_reading = other140.bulk_reading;
  processor = other140.processor;
  zones = other140.zones;
  leaving_upstreams = other140.leaving_upstreams;
  store_era = other140.store_era;
  routing_version = other140.routing_version;
  crash_report = other140.crash_report;
  upstream_rates = other140.upstream_rates;
  request_crash_report = other140.request_crash_report;
  cut_off = other140.cut_off;
  upstream_pauses = other140.upstream_pauses;
  rationed_pools = other140.rationed_pools;
  duties = other140.duties;
  engine_paces = other140.engine_paces;
  __isset = other140.__isset;
}
gossip_state::gossip_state(gossip_state&& other141) noexcept {
  vm = std::move(other141.vm);
  incarnation = other141.incarnation;
  sequence = other141.sequence;
  data_centre = std::move(other141.data_centre);
  address = std::move(other141.address);
  caller_port = other141.caller_port;
  admin_port = other141.admin_port;
  ready = other141.ready;
  leaving = other141.leaving;
  loads = std::move(other141.loads);
  asks = other141.asks;
  answers = other141.answers;
  routing_age_ms = other141.routing_age_ms;
  upstreams_age_ms = other141.upstreams_age_ms;
  upstreams_digest = other141.upstreams_digest;
  interactive_reading = other141.interactive_reading;
  bulk_reading = other141.bulk_reading;
  processor = other141.processor;
  zones = std::move(other141.zones);
  leaving_upstreams = std::move(other141.leaving_upstreams);
  store_era = other141.store_era;
  routing_version = other141.routing_version;
  crash_report = std::move(other141.crash_report);
  upstream_rates = std::move(other141.upstream_rates);
  request_crash_report = std::move(other141.request_crash_report);
  cut_off = other141.cut_off;
  upstream_pauses = std::move(other141.upstream_pauses);
  rationed_pools = std::move(other141.rationed_pools);
  duties = std::move(other141.duties);
  engine_paces = std::move(other141.engine_paces);
  __isset = other141.__isset;
}
gossip_state& gossip_state::operator=(const gossip_state& other142) {
  vm = other142.vm;
  incarnation = other142.incarnation;
  sequence = other142.sequence;
  data_centre = other142.data_centre;
  address = other142.address;
  caller_port = other142.caller_port;
  admin_port = other142.admin_port;
  ready = other142.ready;
  leaving = other142.leaving;
  loads = other142.loads;
  asks = other142.asks;
  answers = other142.answers;
  routing_age_ms = other142.routing_age_ms;
  upstreams_age_ms = other142.upstreams_age_ms;
  upstreams_digest = other142.upstreams_digest;
  interactive_reading = other142.interactive_reading;
  bulk_reading = other142.bulk_reading;
  processor = other142.processor;
  zones = other142.zones;
  leaving_upstreams = other142.leaving_upstreams;
  store_era = other142.store_era;
  routing_version = other142.routing_version;
  crash_report = other142.crash_report;
  upstream_rates = other142.upstream_rates;
  request_crash_report = other142.request_crash_report;
  cut_off = other142.cut_off;
  upstream_pauses = other142.upstream_pauses;
  rationed_pools = other142.rationed_pools;
  duties = other142.duties;
  engine_paces = other142.engine_paces;
  __isset = other142.__isset;
  return *this;
}
gossip_state& gossip_state::operator=(gossip_state&& other143) noexcept {
  vm = std::move(other143.vm);
  incarnation = other143.incarnation;
  sequence = other143.sequence;
  data_centre = std::move(other143.data_centre);
  address = std::move(other143.address);
  caller_port = other143.caller_port;
  admin_port = other143.admin_port;
  ready = other143.ready;
  leaving = other143.leaving;
  loads = std::move(other143.loads);
  asks = other143.asks;
  answers = other143.answers;
  routing_age_ms = other143.routing_age_ms;
  upstreams_age_ms = other143.upstreams_age_ms;
  upstreams_digest = other143.upstreams_digest;
  interactive_reading = other143.interactive_reading;
  bulk_reading = other143.bulk_reading;
  processor = other143.processor;
  zones = std::move(other143.zones);
  leaving_upstreams = std::move(other143.leaving_upstreams);
  store_era = other143.store_era;
  routing_version = other143.routing_version;
  crash_report = std::move(other143.crash_report);
  upstream_rates = std::move(other143.upstream_rates);
  request_crash_report = std::move(other143.request_crash_report);
  cut_off = other143.cut_off;
  upstream_pauses = std::move(other143.upstream_pauses);
  rationed_pools = std::move(other143.rationed_pools);
  duties = std::move(other143.duties);
  engine_paces = std::move(other143.engine_paces);
  __isset = other143.__isset;
  return *this;
}
void gossip_state::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_state(";
  out << "vm=" << to_string(vm);
  out << ", " << "incarnation=" << to_string(incarnation);
  out << ", " << "sequence=" << to_string(sequence);
  out << ", " << "data_centre=" << to_string(data_centre);
  out << ", " << "address=" << to_string(address);
  out << ", " << "caller_port=" << to_string(caller_port);
  out << ", " << "admin_port=" << to_string(admin_port);
  out << ", " << "ready=" << to_string(ready);
  out << ", " << "leaving=" << to_string(leaving);
  out << ", " << "loads=" << to_string(loads);
  out << ", " << "asks=" << to_string(asks);
  out << ", " << "answers=" << to_string(answers);
  out << ", " << "routing_age_ms=" << to_string(routing_age_ms);
  out << ", " << "upstreams_age_ms=" << to_string(upstreams_age_ms);
  out << ", " << "upstreams_digest=" << to_string(upstreams_digest);
  out << ", " << "interactive_reading=" << to_string(interactive_reading);
  out << ", " << "bulk_reading=" << to_string(bulk_reading);
  out << ", " << "processor=" << to_string(processor);
  out << ", " << "zones=" << to_string(zones);
  out << ", " << "leaving_upstreams=" << to_string(leaving_upstreams);
  out << ", " << "store_era=" << to_string(store_era);
  out << ", " << "routing_version=" << to_string(routing_version);
  out << ", " << "crash_report="; (__isset.crash_report ? (out << to_string(crash_report)) : (out << "<null>"));
  out << ", " << "upstream_rates=" << to_string(upstream_rates);
  out << ", " << "request_crash_report="; (__isset.request_crash_report ? (out << to_string(request_crash_report)) : (out << "<null>"));
  out << ", " << "cut_off=" << to_string(cut_off);
  out << ", " << "upstream_pauses=" << to_string(upstream_pauses);
  out << ", " << "rationed_pools=" << to_string(rationed_pools);
  out << ", " << "duties="; (__isset.duties ? (out << to_string(duties)) : (out << "<null>"));
  out << ", " << "engine_paces=" << to_string(engine_paces);
  out << ")";
}


gossip_stream_version::~gossip_stream_version() noexcept {
}


void gossip_stream_version::__set_stream(const int64_t val) {
  this->stream = val;
}

void gossip_stream_version::__set_pool(const int64_t val) {
  this->pool = val;
}

void gossip_stream_version::__set_software(const int64_t val) {
  this->software = val;
}

void gossip_stream_version::__set_left_ms(const int32_t val) {
  this->left_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_stream_version& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_stream_version::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->stream);
          this->__isset.stream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->software);
          this->__isset.software = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->left_ms);
          this->__isset.left_ms = true;
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

uint32_t gossip_stream_version::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_stream_version");

  xfer += oprot->writeFieldBegin("stream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->stream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("software", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->software);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("left_ms", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->left_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_stream_version &a, gossip_stream_version &b) {
  using ::std::swap;
  swap(a.stream, b.stream);
  swap(a.pool, b.pool);
  swap(a.software, b.software);
  swap(a.left_ms, b.left_ms);
  swap(a.__isset, b.__isset);
}

gossip_stream_version::gossip_stream_version(const gossip_stream_version& other144) noexcept {
  stream = other144.stream;
  pool = other144.pool;
  software = other144.software;
  left_ms = other144.left_ms;
  __isset = other144.__isset;
}
gossip_stream_version::gossip_stream_version(gossip_stream_version&& other145) noexcept {
  stream = other145.stream;
  pool = other145.pool;
  software = other145.software;
  left_ms = other145.left_ms;
  __isset = other145.__isset;
}
gossip_stream_version& gossip_stream_version::operator=(const gossip_stream_version& other146) noexcept {
  stream = other146.stream;
  pool = other146.pool;
  software = other146.software;
  left_ms = other146.left_ms;
  __isset = other146.__isset;
  return *this;
}
gossip_stream_version& gossip_stream_version::operator=(gossip_stream_version&& other147) noexcept {
  stream = other147.stream;
  pool = other147.pool;
  software = other147.software;
  left_ms = other147.left_ms;
  __isset = other147.__isset;
  return *this;
}
void gossip_stream_version::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_stream_version(";
  out << "stream=" << to_string(stream);
  out << ", " << "pool=" << to_string(pool);
  out << ", " << "software=" << to_string(software);
  out << ", " << "left_ms=" << to_string(left_ms);
  out << ")";
}


gossip_pool_software::~gossip_pool_software() noexcept {
}


void gossip_pool_software::__set_pool(const int64_t val) {
  this->pool = val;
}

void gossip_pool_software::__set_software(const int64_t val) {
  this->software = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_pool_software& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_pool_software::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->pool);
          this->__isset.pool = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->software);
          this->__isset.software = true;
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

uint32_t gossip_pool_software::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_pool_software");

  xfer += oprot->writeFieldBegin("pool", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->pool);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("software", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->software);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_pool_software &a, gossip_pool_software &b) {
  using ::std::swap;
  swap(a.pool, b.pool);
  swap(a.software, b.software);
  swap(a.__isset, b.__isset);
}

gossip_pool_software::gossip_pool_software(const gossip_pool_software& other148) noexcept {
  pool = other148.pool;
  software = other148.software;
  __isset = other148.__isset;
}
gossip_pool_software::gossip_pool_software(gossip_pool_software&& other149) noexcept {
  pool = other149.pool;
  software = other149.software;
  __isset = other149.__isset;
}
gossip_pool_software& gossip_pool_software::operator=(const gossip_pool_software& other150) noexcept {
  pool = other150.pool;
  software = other150.software;
  __isset = other150.__isset;
  return *this;
}
gossip_pool_software& gossip_pool_software::operator=(gossip_pool_software&& other151) noexcept {
  pool = other151.pool;
  software = other151.software;
  __isset = other151.__isset;
  return *this;
}
void gossip_pool_software::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_pool_software(";
  out << "pool=" << to_string(pool);
  out << ", " << "software=" << to_string(software);
  out << ")";
}


gossip_streams::~gossip_streams() noexcept {
}


void gossip_streams::__set_told(const std::vector<gossip_stream_version> & val) {
  this->told = val;
}

void gossip_streams::__set_asked(const std::vector<int64_t> & val) {
  this->asked = val;
}

void gossip_streams::__set_unknown(const std::vector<int64_t> & val) {
  this->unknown = val;
}

void gossip_streams::__set_seen(const std::vector<gossip_pool_software> & val) {
  this->seen = val;
}

void gossip_streams::__set_seen_all(const bool val) {
  this->seen_all = val;
}

void gossip_streams::__set_span_ms(const int32_t val) {
  this->span_ms = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_streams& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_streams::read(::apache::thrift::protocol::TProtocol* iprot) {

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
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->told.clear();
            uint32_t _size152;
            ::apache::thrift::protocol::TType _etype155;
            xfer += iprot->readListBegin(_etype155, _size152);
            this->told.resize(_size152);
            uint32_t _i156;
            for (_i156 = 0; _i156 < _size152; ++_i156)
            {
              xfer += this->told[_i156].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.told = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->asked.clear();
            uint32_t _size157;
            ::apache::thrift::protocol::TType _etype160;
            xfer += iprot->readListBegin(_etype160, _size157);
            this->asked.resize(_size157);
            uint32_t _i161;
            for (_i161 = 0; _i161 < _size157; ++_i161)
            {
              xfer += iprot->readI64(this->asked[_i161]);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.asked = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->unknown.clear();
            uint32_t _size162;
            ::apache::thrift::protocol::TType _etype165;
            xfer += iprot->readListBegin(_etype165, _size162);
            this->unknown.resize(_size162);
            uint32_t _i166;
            for (_i166 = 0; _i166 < _size162; ++_i166)
            {
              xfer += iprot->readI64(this->unknown[_i166]);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.unknown = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->seen.clear();
            uint32_t _size167;
            ::apache::thrift::protocol::TType _etype170;
            xfer += iprot->readListBegin(_etype170, _size167);
            this->seen.resize(_size167);
            uint32_t _i171;
            for (_i171 = 0; _i171 < _size167; ++_i171)
            {
              xfer += this->seen[_i171].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.seen = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->seen_all);
          this->__isset.seen_all = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->span_ms);
          this->__isset.span_ms = true;
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

uint32_t gossip_streams::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_streams");

  xfer += oprot->writeFieldBegin("told", ::apache::thrift::protocol::T_LIST, 1);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->told.size()));
    std::vector<gossip_stream_version> ::const_iterator _iter172;
    for (_iter172 = this->told.begin(); _iter172 != this->told.end(); ++_iter172)
    {
      xfer += (*_iter172).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("asked", ::apache::thrift::protocol::T_LIST, 2);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_I64, static_cast<uint32_t>(this->asked.size()));
    std::vector<int64_t> ::const_iterator _iter173;
    for (_iter173 = this->asked.begin(); _iter173 != this->asked.end(); ++_iter173)
    {
      xfer += oprot->writeI64((*_iter173));
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("unknown", ::apache::thrift::protocol::T_LIST, 3);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_I64, static_cast<uint32_t>(this->unknown.size()));
    std::vector<int64_t> ::const_iterator _iter174;
    for (_iter174 = this->unknown.begin(); _iter174 != this->unknown.end(); ++_iter174)
    {
      xfer += oprot->writeI64((*_iter174));
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("seen", ::apache::thrift::protocol::T_LIST, 4);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->seen.size()));
    std::vector<gossip_pool_software> ::const_iterator _iter175;
    for (_iter175 = this->seen.begin(); _iter175 != this->seen.end(); ++_iter175)
    {
      xfer += (*_iter175).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("seen_all", ::apache::thrift::protocol::T_BOOL, 5);
  xfer += oprot->writeBool(this->seen_all);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("span_ms", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->span_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_streams &a, gossip_streams &b) {
  using ::std::swap;
  swap(a.told, b.told);
  swap(a.asked, b.asked);
  swap(a.unknown, b.unknown);
  swap(a.seen, b.seen);
  swap(a.seen_all, b.seen_all);
  swap(a.span_ms, b.span_ms);
  swap(a.__isset, b.__isset);
}

gossip_streams::gossip_streams(const gossip_streams& other176) {
  told = other176.told;
  asked = other176.asked;
  unknown = other176.unknown;
  seen = other176.seen;
  seen_all = other176.seen_all;
  span_ms = other176.span_ms;
  __isset = other176.__isset;
}
gossip_streams::gossip_streams(gossip_streams&& other177) noexcept {
  told = std::move(other177.told);
  asked = std::move(other177.asked);
  unknown = std::move(other177.unknown);
  seen = std::move(other177.seen);
  seen_all = other177.seen_all;
  span_ms = other177.span_ms;
  __isset = other177.__isset;
}
gossip_streams& gossip_streams::operator=(const gossip_streams& other178) {
  told = other178.told;
  asked = other178.asked;
  unknown = other178.unknown;
  seen = other178.seen;
  seen_all = other178.seen_all;
  span_ms = other178.span_ms;
  __isset = other178.__isset;
  return *this;
}
gossip_streams& gossip_streams::operator=(gossip_streams&& other179) noexcept {
  told = std::move(other179.told);
  asked = std::move(other179.asked);
  unknown = std::move(other179.unknown);
  seen = std::move(other179.seen);
  seen_all = other179.seen_all;
  span_ms = other179.span_ms;
  __isset = other179.__isset;
  return *this;
}
void gossip_streams::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_streams(";
  out << "told=" << to_string(told);
  out << ", " << "asked=" << to_string(asked);
  out << ", " << "unknown=" << to_string(unknown);
  out << ", " << "seen=" << to_string(seen);
  out << ", " << "seen_all=" << to_string(seen_all);
  out << ", " << "span_ms=" << to_string(span_ms);
  out << ")";
}


gossip_usage_count::~gossip_usage_count() noexcept {
}


void gossip_usage_count::__set_account(const std::string& val) {
  this->account = val;
}

void gossip_usage_count::__set_requests(const int64_t val) {
  this->requests = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_usage_count& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_usage_count::read(::apache::thrift::protocol::TProtocol* iprot) {

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
          xfer += iprot->readI64(this->requests);
          this->__isset.requests = true;
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

uint32_t gossip_usage_count::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_usage_count");

  xfer += oprot->writeFieldBegin("account", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->account);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("requests", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->requests);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_usage_count &a, gossip_usage_count &b) {
  using ::std::swap;
  swap(a.account, b.account);
  swap(a.requests, b.requests);
  swap(a.__isset, b.__isset);
}

gossip_usage_count::gossip_usage_count(const gossip_usage_count& other180) {
  account = other180.account;
  requests = other180.requests;
  __isset = other180.__isset;
}
gossip_usage_count::gossip_usage_count(gossip_usage_count&& other181) noexcept {
  account = std::move(other181.account);
  requests = other181.requests;
  __isset = other181.__isset;
}
gossip_usage_count& gossip_usage_count::operator=(const gossip_usage_count& other182) {
  account = other182.account;
  requests = other182.requests;
  __isset = other182.__isset;
  return *this;
}
gossip_usage_count& gossip_usage_count::operator=(gossip_usage_count&& other183) noexcept {
  account = std::move(other183.account);
  requests = other183.requests;
  __isset = other183.__isset;
  return *this;
}
void gossip_usage_count::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_usage_count(";
  out << "account=" << to_string(account);
  out << ", " << "requests=" << to_string(requests);
  out << ")";
}


gossip_usage::~gossip_usage() noexcept {
}


void gossip_usage::__set_vm(const std::string& val) {
  this->vm = val;
}

void gossip_usage::__set_incarnation(const int64_t val) {
  this->incarnation = val;
}

void gossip_usage::__set_window(const int64_t val) {
  this->window = val;
}

void gossip_usage::__set_complete(const bool val) {
  this->complete = val;
}

void gossip_usage::__set_counts(const std::vector<gossip_usage_count> & val) {
  this->counts = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_usage& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_usage::read(::apache::thrift::protocol::TProtocol* iprot) {

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
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->window);
          this->__isset.window = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->complete);
          this->__isset.complete = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->counts.clear();
            uint32_t _size184;
            ::apache::thrift::protocol::TType _etype187;
            xfer += iprot->readListBegin(_etype187, _size184);
            this->counts.resize(_size184);
            uint32_t _i188;
            for (_i188 = 0; _i188 < _size184; ++_i188)
            {
              xfer += this->counts[_i188].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.counts = true;
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

uint32_t gossip_usage::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_usage");

  xfer += oprot->writeFieldBegin("vm", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->vm);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("incarnation", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->incarnation);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("window", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->window);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("complete", ::apache::thrift::protocol::T_BOOL, 4);
  xfer += oprot->writeBool(this->complete);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("counts", ::apache::thrift::protocol::T_LIST, 5);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->counts.size()));
    std::vector<gossip_usage_count> ::const_iterator _iter189;
    for (_iter189 = this->counts.begin(); _iter189 != this->counts.end(); ++_iter189)
    {
      xfer += (*_iter189).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_usage &a, gossip_usage &b) {
  using ::std::swap;
  swap(a.vm, b.vm);
  swap(a.incarnation, b.incarnation);
  swap(a.window, b.window);
  swap(a.complete, b.complete);
  swap(a.counts, b.counts);
  swap(a.__isset, b.__isset);
}

gossip_usage::gossip_usage(const gossip_usage& other190) {
  vm = other190.vm;
  incarnation = other190.incarnation;
  window = other190.window;
  complete = other190.complete;
  counts = other190.counts;
  __isset = other190.__isset;
}
gossip_usage::gossip_usage(gossip_usage&& other191) noexcept {
  vm = std::move(other191.vm);
  incarnation = other191.incarnation;
  window = other191.window;
  complete = other191.complete;
  counts = std::move(other191.counts);
  __isset = other191.__isset;
}
gossip_usage& gossip_usage::operator=(const gossip_usage& other192) {
  vm = other192.vm;
  incarnation = other192.incarnation;
  window = other192.window;
  complete = other192.complete;
  counts = other192.counts;
  __isset = other192.__isset;
  return *this;
}
gossip_usage& gossip_usage::operator=(gossip_usage&& other193) noexcept {
  vm = std::move(other193.vm);
  incarnation = other193.incarnation;
  window = other193.window;
  complete = other193.complete;
  counts = std::move(other193.counts);
  __isset = other193.__isset;
  return *this;
}
void gossip_usage::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_usage(";
  out << "vm=" << to_string(vm);
  out << ", " << "incarnation=" << to_string(incarnation);
  out << ", " << "window=" << to_string(window);
  out << ", " << "complete=" << to_string(complete);
  out << ", " << "counts=" << to_string(counts);
  out << ")";
}

}}} // namespace
