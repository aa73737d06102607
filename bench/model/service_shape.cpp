#include "model/service_shape.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace hickoryshore::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration shardedMedian = 8ms;
constexpr Duration unshardedMedian = 5ms;

ServiceShape quispeService(const char *name, int shards, int replicas, bool sharded)
{
    ServiceShape shape;
    shape.name = name;
    shape.shards = shards;
    shape.replicas = replicas;
    shape.connections = sharded ? 60 : 250;
    shape.connectionCost = sharded ? 6ms : 1ms;
    shape.medianServiceTime = sharded ? shardedMedian : unshardedMedian;
    return shape;
}

ServiceShape consorzioService(const char *name, int shards, int replicas, bool sharded)
{
    ServiceShape shape = quispeService(name, shards, replicas, sharded);
    shape.slots = sharded ? 2 : 6;
    shape.connections = sharded ? 55 : 100;
    shape.delayBetweenDataCentres = 1ms;
    shape.delayBetweenRegions = 20ms;
    return shape;
}

} // namespace

std::span<const ServiceShape> serviceShapes()
{
    static const std::array shapes{quispeService("tablero-vivo", 20, 2, true),
                                   quispeService("despacho", 30, 2, true),
                                   quispeService("inventario-paraderos", 1, 5, false),
                                   quispeService("inspeccion", 1, 3, false),
                                   consorzioService("floor-round", 20, 2, true),
                                   consorzioService("guest-billing", 30, 2, true),
                                   consorzioService("supplier-desk", 1, 3, false),
                                   consorzioService("depot-stock", 1, 3, false)};
    return shapes;
}

const ServiceShape &serviceShape(std::string_view name)
{
    const std::span<const ServiceShape> shapes = serviceShapes();
    const auto found = std::ranges::find(shapes, name, &ServiceShape::name);
    if (found == shapes.end()) {
        throw std::invalid_argument("unknown service: " + std::string(name));
    }
    return *found;
}

ServiceShape tailAtScaleShape()
{
    ServiceShape shape;
    shape.name = "tail-at-scale";
    shape.shards = 100;
    shape.slots = 64;
    shape.connections = 1000;
    shape.connectionCost = 1ms;
    shape.medianServiceTime = 4ms;
    shape.tailShare = 0.02;
    shape.keysPerShard = 10;
    return shape;
}

double meanServiceSeconds(const ServiceShape &shape)
{
    const double body = std::chrono::duration<double>(shape.medianServiceTime).count()
        * std::exp(shape.serviceSigma * shape.serviceSigma / 2);
    const double tail
        = std::chrono::duration<double>(shape.tailStart).count() * shape.tailExponent / (shape.tailExponent - 1);
    return (1 - shape.tailShare) * body + shape.tailShare * tail;
}

double capacityPerSecond(const ServiceShape &shape)
{
    return shape.shards * shape.replicas * shape.slots / meanServiceSeconds(shape);
}

} // namespace hickoryshore::bench
