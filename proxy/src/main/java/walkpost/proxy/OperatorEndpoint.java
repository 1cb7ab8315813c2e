package walkpost.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The operator endpoint: takes one call as a line of text on each connection, and answers with a line that begins with {@code SUCCESS} or
 * {@code FAILURE}. Anyone may connect, so no caller may block the endpoint or use up its descriptors. Used on the event loop only, except
 * that the stages of the fleet's calls may complete on any thread.
 */
final class OperatorEndpoint {
    /** When more callers than this are connected, the one connected longest is closed: it is most likely one that sends nothing. */
    static final int MAX_CALLERS = 16;
    /** The longest call, with an id of {@link ExclusionStore#MAX_ID_BYTES}. */
    private static final int MAX_LINE_BYTES = 200;
    /** The longest call with, in addition, the ids of two orders of {@link ProxyFleetMember#MAX_ORDER_ID_BYTES} each. */
    private static final int MAX_FLEET_LINE_BYTES = 340;
    /** A caller must send its line within this time; the platform demands an answer or a close within 3 s of connecting. */
    private static final long LINE_TIMEOUT_MS = 2_000;
    /** Delay between the end of the output and the close, because a close with unread input would reset the connection. */
    private static final long LINGER_MS = 500;

    /** Thrown for a call that is unknown or malformed; its message goes into the answer. */
    private static final class InvalidCallException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidCallException(String message) {
            super(message, null, false, false);
        }
    }

    /** Carries out a call. The stage completes with the line that answers it, on any thread. */
    private interface CallHandler {
        CompletionStage<String> handle(String[] words) throws InvalidCallException, ExclusionStore.ExclusionRejectedException;
    }

    /**
     * A kind of call.
     *
     * @param form its words: those in lower case are literal, those in capitals are arguments, and one in brackets is optional
     * @param maxBytes the longest line of such a call
     */
    private record Call(String form, int maxBytes, CallHandler handler) {
        boolean matches(String[] words) {
            String[] parts = form.split(" ");
            int maxWords = parts.length;
            int minWords = parts[maxWords - 1].startsWith("[") ? maxWords - 1 : maxWords;
            return words.length >= minWords && words.length <= maxWords && IntStream.range(0, words.length)
                    .allMatch(i -> !Character.isLowerCase(parts[i].charAt(0)) || parts[i].equals(words[i]));
        }

        boolean startsWith(String word) {
            return form.split(" ")[0].equals(word);
        }
    }

    private final EventLog log = new EventLog("operators");
    private final BooleanSupplier ready;
    private final ExclusionStore exclusions;
    /** Null if this proxy is not a member of a fleet. */
    private final FleetAccess fleet;
    /** The open connections, the oldest first. */
    private final Set<Channel> callers = new LinkedHashSet<>();
    /** All calls; created at the first call, because clients wait while the proxy starts. */
    private List<Call> calls;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param fleet null if this proxy is not a member of a fleet
     */
    OperatorEndpoint(BooleanSupplier ready, ExclusionStore exclusions, FleetAccess fleet) {
        this.ready = ready;
        this.exclusions = exclusions;
        this.fleet = fleet;
    }

    private List<Call> createCalls() {
        return List.of(
                new Call("readyz", MAX_LINE_BYTES, words -> completed(ready.getAsBoolean() ? "SUCCESS ready" : "FAILURE not ready")),
                new Call("exclude ID", MAX_LINE_BYTES, words -> {
                    exclusions.exclude(words[1]);
                    return completed("SUCCESS " + words[1] + " is taken out");
                }),
                new Call("include ID", MAX_LINE_BYTES, words -> completed("SUCCESS " + words[1] + (exclusions.include(words[1])
                        ? " is in use again" : " is given back here, but the fleet has it out"))),
                new Call("fleet", MAX_LINE_BYTES, words -> fleet().describeFleet()),
                new Call("orders", MAX_LINE_BYTES, words -> fleet().describeOrders()),
                new Call("facts TOPIC", MAX_LINE_BYTES, words -> fleet().describeEntries(words[1])),
                new Call("held ID ORDER", MAX_FLEET_LINE_BYTES, words -> fleet().describeOrderCoverage(words[1], words[2])),
                new Call("exclude ID fleet ORDER [REPLACES]", MAX_FLEET_LINE_BYTES, words -> issueOrder(words, true)),
                new Call("include ID fleet ORDER [REPLACES]", MAX_FLEET_LINE_BYTES, words -> issueOrder(words, false)));
    }

    private CompletionStage<String> issueOrder(String[] words, boolean exclude) throws InvalidCallException {
        return fleet().issueOrder(words[1], exclude, words[3], words.length > 4 ? words[4] : null);
    }

    private FleetAccess fleet() throws InvalidCallException {
        if (fleet == null) {
            throw new InvalidCallException("this proxy is in no fleet, as " + ProcessEnvironment.FLEET_VARIABLE + " names no file");
        }
        return fleet;
    }

    private static CompletionStage<String> completed(String answer) {
        return CompletableFuture.completedFuture(answer);
    }

    /** Listens for callers; returns the future of the listening channel. */
    ChannelFuture listen(EventLoop loop, SocketAddress address, SystemCallFailureCounter failures) {
        return new ServerBootstrap().group(loop).channelFactory(() -> new RetryingServerSocketChannel(failures))
                // A caller that has shut down its output still reads the answer.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        register(channel);
                        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_FLEET_LINE_BYTES, true, true), new CallerHandler());
                    }
                }).bind(address);
    }

    /** Counts a new caller, and closes the oldest one if there are too many. */
    private void register(Channel channel) {
        if (callers.size() >= MAX_CALLERS) {
            callers.iterator().next().close();
        }
        callers.add(channel);
        channel.closeFuture().addListener(f -> callers.remove(channel));
    }

    /** Carries out the call of a line; returns the stage of its answer. */
    private CompletionStage<String> handle(ByteBuf line) {
        int lengthBytes = line.readableBytes();
        try {
            String[] words = decode(line).trim().split("[ \t]+", -1);
            Call call = findCall(words);
            if (lengthBytes > call.maxBytes) {
                throw new InvalidCallException("the line is too long");
            }
            return call.handler.handle(words);
        } catch (InvalidCallException | ExclusionStore.ExclusionRejectedException e) {
            return completed("FAILURE " + e.getMessage());
        } catch (RuntimeException e) {
            log.error("call_failed", e);
            return completed("FAILURE " + e);
        }
    }

    private Call findCall(String[] words) throws InvalidCallException {
        if (calls == null) {
            calls = createCalls();
        }
        for (Call call : calls) {
            if (call.matches(words)) {
                return call;
            }
        }
        boolean known = calls.stream().anyMatch(call -> call.startsWith(words[0]));
        throw new InvalidCallException((known ? "that is not the form of the call: " : "no such call; there are: ")
                + calls.stream().filter(call -> !known || call.startsWith(words[0])).map(Call::form).collect(Collectors.joining(", ")));
    }

    private static String decode(ByteBuf line) throws InvalidCallException {
        try {
            var bytes = ByteBuffer.allocate(line.readableBytes());
            line.readBytes(bytes);
            String text = StandardCharsets.UTF_8.newDecoder().decode(bytes.flip()).toString();
            if (text.chars().anyMatch(c -> Character.isISOControl(c) && c != '\t')) {
                throw new InvalidCallException("not a line of text");
            }
            return text;
        } catch (CharacterCodingException e) {
            throw new InvalidCallException("not a line of text");
        }
    }

    /** Handles one caller's connection: takes the first line as its call and drops further input. */
    private final class CallerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private Future<?> lineTimeout;
        /** Whether the line has arrived; its answer may take longer than {@link #LINE_TIMEOUT_MS}. */
        private boolean lineReceived;
        private boolean answered;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            lineTimeout = ctx.executor().schedule(() -> answer(ctx, "FAILURE no whole line in time"), LINE_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (lineReceived || answered) {
                return;
            }
            lineReceived = true;
            lineTimeout.cancel(false);
            OperatorEndpoint.this.handle(line).whenComplete((text, e) -> {
                if (ctx.executor().inEventLoop()) {
                    answer(ctx, text);
                } else {
                    ctx.executor().execute(() -> answer(ctx, text));
                }
            });
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            if (answered) {
                return;
            }
            answered = true;
            lineTimeout.cancel(false);
            ctx.writeAndFlush(Unpooled.copiedBuffer(text.replaceAll("\\s", " ") + "\n", StandardCharsets.UTF_8))
                    .addListener(f -> {
                        ((DuplexChannel) ctx.channel()).shutdownOutput();
                        ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
                    });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof ChannelInputShutdownEvent) {
                if (answered) {
                    ctx.close();
                } else if (!lineReceived) {
                    answer(ctx, "FAILURE the line has no end");
                }
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            lineTimeout.cancel(false);
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof TooLongFrameException)) {
                ctx.close();
            } else if (!lineReceived) {
                answer(ctx, "FAILURE the line is too long");
            }
        }
    }
}
